package upgrade

import "github.com/vatu-meals/foxlift/internal/statefile"

// Properties of the state file, which belongs to a takeover lock.
const (
	stateMagic   = "foxlift state 1\n"
	stateSuffix  = ".state" // appended to the path of the lock file
	maxStateSize = 8 << 20  // bytes; the directory may be in memory that is charged to the process
)

// ErrStateUnreadable means that a state file is truncated, corrupt or too large, or has another format or format
// version.
var ErrStateUnreadable = statefile.ErrUnreadable

// stateFile describes the state file of the lock.
func (l *TakeoverLock) stateFile() statefile.File {
	return statefile.File{Path: l.path + stateSuffix, Magic: stateMagic, MaxSize: maxStateSize}
}

// SaveState writes the predecessor's state as JSON, and replaces the previous state. If it returns an error, for
// example because the file would exceed maxStateSize, the previous state is unchanged. Only one goroutine at a
// time may call it.
func (l *TakeoverLock) SaveState(state any) error { return l.stateFile().Write(state) }

// LoadState reads the state that the predecessor saved last into state, a pointer. The error is
// os.ErrNotExist if there is no state, and ErrStateUnreadable if it cannot be used.
func (l *TakeoverLock) LoadState(state any) error { return l.stateFile().Read(state) }

// DiscardState removes the saved state, if there is one, so that no later process reads it. Errors are ignored.
func (l *TakeoverLock) DiscardState() { l.stateFile().Remove() }
