// Package upgrade lets a successor process take over from the serving process without losing a job.
//
// Locks in one file, the takeover lock, determine which process is the predecessor and which the successor.
// Both processes listen on the same address, and the kernel sends new connections and datagrams to the newer
// socket. The predecessor passes its state to the successor in a state file next to the lock file.
//
// The locks are open file description locks on single bytes of the file. The kernel releases them when the
// process exits, so that a process that has exited never holds one. The package owns both files.
package upgrade

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Offsets of the locked bytes in the file. All versions of the program must use the same offsets.
const (
	servingByte   = 0 // locked by the serving process until it exits
	successorByte = 1 // locked by the successor
	listeningByte = 2 // locked by the successor once it listens
)

const ownerOnly = 0o600 // permissions of the lock file

// ErrTakeoverInProgress means that a serving process and its successor exist already.
var ErrTakeoverInProgress = errors.New("two processes serve this address already: an upgrade is under way")

// A TakeoverLock determines which of two processes that share an address is the serving process, and which is
// its successor. Its methods are safe for concurrent use unless their comments state otherwise.
type TakeoverLock struct {
	path        string      // of the lock file
	mu          sync.Mutex  // guards file
	file        *os.File    // nil after Release
	isSuccessor atomic.Bool // whether this process waits to become the serving process
}

// AcquireTakeover acquires the takeover lock of an address in a directory: the role of the serving process if
// that is free, otherwise the role of its successor. While other processes hold both roles it retries at the
// given interval, and returns ErrTakeoverInProgress after the timeout; it tries at least once. It creates the
// lock file if there is none, but not the directory.
func AcquireTakeover(directory, address string, timeout, interval time.Duration) (*TakeoverLock, error) {
	path := filepath.Join(directory, fileName(address))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, ownerOnly)
	if err != nil {
		return nil, fmt.Errorf("takeover lock: %w", err)
	}
	l := &TakeoverLock{path: path, file: file}
	deadline := time.Now().Add(timeout)
	for {
		acquired, err := l.tryAcquire()
		switch {
		case err != nil:
			file.Close()
			return nil, fmt.Errorf("takeover lock: %w", err)
		case acquired:
			return l, nil
		case !time.Now().Before(deadline):
			file.Close()
			return nil, ErrTakeoverInProgress
		}
		<-time.After(interval)
	}
}

// fileName returns the name of the lock file of an address.
func fileName(address string) string {
	return "foxlift-" + strings.NewReplacer(":", "_", "/", "_").Replace(address) + ".lock"
}

// tryAcquire acquires the role of the serving process or, if another process has it, that of the successor.
// It returns false if other processes have both roles.
func (l *TakeoverLock) tryAcquire() (bool, error) {
	if acquired, err := l.lockByte(servingByte); acquired || err != nil {
		return acquired, err
	}
	acquired, err := l.lockByte(successorByte)
	l.isSuccessor.Store(acquired)
	return acquired, err
}

// IsSuccessor reports whether this process is a successor that has not been promoted.
func (l *TakeoverLock) IsSuccessor() bool { return l.isSuccessor.Load() }

// Promote makes a successor the serving process if its predecessor has exited or released its lock. It returns
// whether this process is the serving process now; with true, an error means that the successor's locks could
// not be released. Only one goroutine may call it at a time.
func (l *TakeoverLock) Promote() (bool, error) {
	if !l.isSuccessor.Load() {
		return true, nil
	}
	acquired, err := l.lockByte(servingByte)
	if !acquired || err != nil {
		return false, err
	}
	l.isSuccessor.Store(false)
	return true, errors.Join(l.unlockByte(listeningByte), l.unlockByte(successorByte))
}

// AnnounceListening signals to the predecessor that this process listens. Without a predecessor it does
// nothing.
func (l *TakeoverLock) AnnounceListening() error {
	if !l.isSuccessor.Load() {
		return nil
	}
	_, err := l.lockByte(listeningByte)
	return err
}

// HasSuccessor reports whether this process is the serving process and a successor exists; false after Release
// or if the lock cannot be queried.
func (l *TakeoverLock) HasSuccessor() bool {
	return !l.isSuccessor.Load() && l.lockedByOther(successorByte)
}

// SuccessorListening reports whether this process is the serving process and a successor exists and listens;
// false after Release or if the lock cannot be queried.
func (l *TakeoverLock) SuccessorListening() bool {
	return !l.isSuccessor.Load() && l.lockedByOther(listeningByte)
}

// Release releases the lock and closes its file, which stays on the disk. Further calls have no effect, and the
// other methods that use the file then fail with os.ErrClosed or return false.
func (l *TakeoverLock) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}

// lockByte locks the byte at an offset. It returns false if another process has locked it.
func (l *TakeoverLock) lockByte(offset int64) (bool, error) {
	err := l.fcntl(unix.F_OFD_SETLK, byteRange(unix.F_WRLCK, offset))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	return err == nil, err
}

// unlockByte unlocks the byte at an offset.
func (l *TakeoverLock) unlockByte(offset int64) error {
	return l.fcntl(unix.F_OFD_SETLK, byteRange(unix.F_UNLCK, offset))
}

// lockedByOther reports whether another process has locked the byte at an offset; false if the query fails.
func (l *TakeoverLock) lockedByOther(offset int64) bool {
	query := byteRange(unix.F_WRLCK, offset)
	return l.fcntl(unix.F_OFD_GETLK, query) == nil && query.Type != unix.F_UNLCK
}

// fcntl executes a lock command on the file. It returns os.ErrClosed after Release, since the number of the
// closed descriptor may then refer to another file.
func (l *TakeoverLock) fcntl(command int, r *unix.Flock_t) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return os.ErrClosed
	}
	return unix.FcntlFlock(l.file.Fd(), command, r)
}

// byteRange describes a lock of the given kind on the byte at an offset.
func byteRange(kind int16, offset int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: offset, Len: 1}
}
