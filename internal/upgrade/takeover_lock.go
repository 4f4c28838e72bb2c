// Package upgrade lets a successor process take over from the process that serves, without losing a job.
//
// Both processes agree on who is predecessor and who is successor by locks in one file, the takeover
// lock. They listen on the same address, and the kernel steers what comes to the newer socket. The
// predecessor passes on what it has learned in a state file beside the lock.
//
// The locks are open file description locks on single bytes of the file. The kernel releases them with
// the process that holds them, so that a process that has exited never holds one. The package owns both
// files.
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

// The bytes of the file that are locked. Programs of other versions lock the same.
const (
	servingByte   = 0 // by the process that serves, until it exits
	successorByte = 1 // by its successor
	listeningByte = 2 // by its successor, once that listens
)

const ownerOnly = 0o600 // permissions of the lock's file

// ErrTakeoverInProgress means that a serving process and its successor exist already.
var ErrTakeoverInProgress = errors.New("two processes serve this address already: an upgrade is under way")

// A TakeoverLock says which of the processes that share an address serves, and which is its successor.
// Its methods may be called by several goroutines, except where they say otherwise.
type TakeoverLock struct {
	path        string
	mu          sync.Mutex
	file        *os.File    // nil once released
	isSuccessor atomic.Bool // whether this process is to take over
}

// AcquireTakeover acquires the takeover lock of an address in a directory: the serving process's part if
// that is free, else the successor's. While other processes hold both it tries again every interval, and
// returns ErrTakeoverInProgress after the timeout.
func AcquireTakeover(directory, address string, timeout, interval time.Duration) (*TakeoverLock, error) {
	path := filepath.Join(directory, fileName(address))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, ownerOnly)
	if err != nil {
		return nil, fmt.Errorf("takeover lock: %w", err)
	}
	l := &TakeoverLock{path: path, file: file}
	deadline := time.Now().Add(timeout)
	for {
		acquired, err := l.acquireFree()
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

// fileName returns the name of the lock's file of an address.
func fileName(address string) string {
	return "foxlift-" + strings.NewReplacer(":", "_", "/", "_").Replace(address) + ".lock"
}

// acquireFree acquires the serving process's part or, if another process has that, the successor's. It
// returns false if both are held.
func (l *TakeoverLock) acquireFree() (bool, error) {
	if acquired, err := l.lockByte(servingByte); acquired || err != nil {
		return acquired, err
	}
	acquired, err := l.lockByte(successorByte)
	l.isSuccessor.Store(acquired)
	return acquired, err
}

// IsSuccessor reports whether this process is the successor of one that has not exited.
func (l *TakeoverLock) IsSuccessor() bool { return l.isSuccessor.Load() }

// Promote makes a successor the serving process once its predecessor has exited, and reports whether it
// is the serving process now. Only one goroutine may call it at a time.
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

// AnnounceListening tells the predecessor, if there is one, that this process listens.
func (l *TakeoverLock) AnnounceListening() error {
	if !l.isSuccessor.Load() {
		return nil
	}
	_, err := l.lockByte(listeningByte)
	return err
}

// HasSuccessor reports whether a successor of this process exists.
func (l *TakeoverLock) HasSuccessor() bool {
	return !l.isSuccessor.Load() && l.lockedByOther(successorByte)
}

// SuccessorListening reports whether a successor of this process exists and listens.
func (l *TakeoverLock) SuccessorListening() bool {
	return !l.isSuccessor.Load() && l.lockedByOther(listeningByte)
}

// Release releases the lock.
func (l *TakeoverLock) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}

// lockByte locks a byte. It returns false if another process has locked it.
func (l *TakeoverLock) lockByte(offset int64) (bool, error) {
	err := l.fcntl(unix.F_OFD_SETLK, byteRange(unix.F_WRLCK, offset))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	return err == nil, err
}

func (l *TakeoverLock) unlockByte(offset int64) error {
	return l.fcntl(unix.F_OFD_SETLK, byteRange(unix.F_UNLCK, offset))
}

// lockedByOther reports whether another process has locked a byte.
func (l *TakeoverLock) lockedByOther(offset int64) bool {
	query := byteRange(unix.F_WRLCK, offset)
	return l.fcntl(unix.F_OFD_GETLK, query) == nil && query.Type != unix.F_UNLCK
}

// fcntl runs a command for locks on the file. It returns os.ErrClosed after Release: the number of a
// closed descriptor may be another file's.
func (l *TakeoverLock) fcntl(command int, r *unix.Flock_t) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return os.ErrClosed
	}
	return unix.FcntlFlock(l.file.Fd(), command, r)
}

func byteRange(kind int16, offset int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: offset, Len: 1}
}
