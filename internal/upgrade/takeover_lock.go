// Package upgrade lets a second process of the program take over from the one that serves, without
// a job lost: both agree on their places by locks in a file, and listen on the same address.
//
// The locks are open file description locks on single bytes of one file. The kernel drops them
// with the process that holds them, so a place is never held by one that is no more.
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

// The bytes of the file that are locked.
const (
	servingByte   = 0 // by the process that serves, until it hands over
	successorByte = 1 // by the one that is to take over
	listeningByte = 2 // by the same, once it listens
)

// ErrTakeoverInProgress means that two processes hold both places already.
var ErrTakeoverInProgress = errors.New("two processes serve this address already: an upgrade is under way")

// A Place is a process's place among those that serve one address.
type TakeoverLock struct {
	path        string
	mu          sync.Mutex
	file        *os.File    // nil once the place is given up
	isSuccessor atomic.Bool // this process is to take over
}

// Take takes a place among the processes that serve an address and share a directory: that of the
// serving process if it is free, else the successor's. Where both are taken it tries again every
// pause, until the limit is over, and returns ErrTakeoverInProgress then.
func AcquireTakeover(directory, address string, limit, pause time.Duration) (*TakeoverLock, error) {
	file, err := os.OpenFile(filepath.Join(directory, fileName(address)), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the place for upgrades: %w", err)
	}
	p := &TakeoverLock{path: file.Name(), file: file}
	for end := time.Now().Add(limit); ; <-time.After(pause) {
		taken, err := p.acquireFree()
		switch {
		case err != nil:
			file.Close()
			return nil, fmt.Errorf("the place for upgrades: %w", err)
		case taken:
			return p, nil
		case !time.Now().Before(end):
			file.Close()
			return nil, ErrTakeoverInProgress
		}
	}
}

// fileName is the name of an address's file.
func fileName(address string) string {
	return "foxlift-" + strings.NewReplacer(":", "_", "/", "_").Replace(address) + ".lock"
}

// acquireFree takes the first place that is free.
func (p *TakeoverLock) acquireFree() (taken bool, err error) {
	if taken, err = p.tryLock(servingByte); taken || err != nil {
		return taken, err
	}
	taken, err = p.tryLock(successorByte)
	p.isSuccessor.Store(taken)
	return taken, err
}

// IsSuccessor reports whether another process still serves, from which this one takes over.
func (p *TakeoverLock) IsSuccessor() bool { return p.isSuccessor.Load() }

// Promote makes a successor the serving process once the other has left that place; true if it is
// the serving process now. Not to be called by two goroutines at once.
func (p *TakeoverLock) Promote() (bool, error) {
	if !p.isSuccessor.Load() {
		return true, nil
	}
	taken, err := p.tryLock(servingByte)
	if !taken || err != nil {
		return false, err
	}
	p.isSuccessor.Store(false)
	return true, errors.Join(p.unlock(listeningByte), p.unlock(successorByte))
}

// AnnounceListening tells the serving process that this one, its successor, listens.
func (p *TakeoverLock) AnnounceListening() error {
	if !p.isSuccessor.Load() {
		return nil
	}
	_, err := p.tryLock(listeningByte)
	return err
}

// HasSuccessor reports whether there is a process that is to take over from this one.
func (p *TakeoverLock) HasSuccessor() bool {
	return !p.isSuccessor.Load() && p.lockedByOther(successorByte)
}

// SuccessorListening reports whether that process listens.
func (p *TakeoverLock) SuccessorListening() bool {
	return !p.isSuccessor.Load() && p.lockedByOther(listeningByte)
}

// Leave gives up the place.
func (p *TakeoverLock) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.file != nil {
		p.file.Close()
		p.file = nil
	}
}

// set changes the lock on a byte. Any goroutine may call it, also amid Leave: a descriptor that
// was closed may be another file's by then.
func (p *TakeoverLock) fcntl(command int, r *unix.Flock_t) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.file == nil {
		return os.ErrClosed
	}
	return unix.FcntlFlock(p.file.Fd(), command, r)
}

// lock takes a byte's lock; false if another process has it.
func (p *TakeoverLock) tryLock(at int64) (bool, error) {
	err := p.fcntl(unix.F_OFD_SETLK, byteRange(unix.F_WRLCK, at))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	return err == nil, err
}

func (p *TakeoverLock) unlock(at int64) error {
	return p.fcntl(unix.F_OFD_SETLK, byteRange(unix.F_UNLCK, at))
}

// locked reports whether another process has a byte's lock.
func (p *TakeoverLock) lockedByOther(at int64) bool {
	r := byteRange(unix.F_WRLCK, at)
	return p.fcntl(unix.F_OFD_GETLK, r) == nil && r.Type != unix.F_UNLCK
}

func byteRange(kind int16, at int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: at, Len: 1}
}
