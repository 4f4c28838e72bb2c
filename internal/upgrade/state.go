package upgrade

import "github.com/vatu-meals/foxlift/internal/statefile"

// What the older process hands over is kept in a file beside the places.
const (
	stateMagic   = "foxlift state 1\n"
	stateSuffix  = ".state"
	maxStateSize = 8 << 20 // bytes; the directory may count as memory
)

// ErrStateUnreadable means that a state's file is torn, of another form or of another program's version.
var ErrStateUnreadable = statefile.ErrUnreadable

func (p *TakeoverLock) stateFile() statefile.File {
	return statefile.File{Path: p.path + stateSuffix, Magic: stateMagic, MaxSize: maxStateSize}
}

// Save writes a state, as JSON, for the other process. It replaces the one before.
func (p *TakeoverLock) SaveState(state any) error { return p.stateFile().Write(state) }

// Load reads the state that the other process has written last. The error is os.ErrNotExist where
// there is none, and ErrStateUnreadable where it cannot be used.
func (p *TakeoverLock) LoadState(state any) error { return p.stateFile().Read(state) }

// DiscardState removes the state, so that no later process takes it for new.
func (p *TakeoverLock) DiscardState() { p.stateFile().Remove() }
