package upgrade

import "github.com/vatu-meals/foxlift/internal/statefile"

// What the older process hands over is kept in a file beside the places.
const (
	stateMark   = "foxlift state 1\n"
	stateSuffix = ".state"
	stateMost   = 8 << 20 // bytes; the directory may count as memory
)

// ErrState means that a state's file is torn, of another form or of another program's version.
var ErrState = statefile.ErrUnreadable

func (p *TakeoverLock) state() statefile.File {
	return statefile.File{Path: p.path + stateSuffix, Mark: stateMark, Most: stateMost}
}

// Save writes a state, as JSON, for the other process. It replaces the one before.
func (p *TakeoverLock) Save(state any) error { return p.state().Write(state) }

// Load reads the state that the other process has written last. The error is os.ErrNotExist where
// there is none, and ErrState where it cannot be used.
func (p *TakeoverLock) Load(state any) error { return p.state().Read(state) }

// Discard removes the state, so that no later process takes it for new.
func (p *TakeoverLock) Discard() { p.state().Remove() }
