package upgrade

import "github.com/vatu-meals/foxlift/internal/statefile"

// The state file of a takeover lock.
const (
	stateMagic   = "foxlift state 1\n"
	stateSuffix  = ".state" // of its name, after the lock's
	maxStateSize = 8 << 20  // bytes; the directory may count as the process's memory
)

// ErrStateUnreadable means that a state file is torn, of another form, or written by another version of
// the program.
var ErrStateUnreadable = statefile.ErrUnreadable

func (l *TakeoverLock) stateFile() statefile.File {
	return statefile.File{Path: l.path + stateSuffix, Magic: stateMagic, MaxSize: maxStateSize}
}

// SaveState writes the predecessor's state as JSON, in place of the one before.
func (l *TakeoverLock) SaveState(state any) error { return l.stateFile().Write(state) }

// LoadState reads the state that the predecessor has saved last. The error is os.ErrNotExist if there is
// none, and ErrStateUnreadable if it cannot be used.
func (l *TakeoverLock) LoadState(state any) error { return l.stateFile().Read(state) }

// DiscardState removes the state, so that no later process reads it.
func (l *TakeoverLock) DiscardState() { l.stateFile().Remove() }
