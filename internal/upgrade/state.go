package upgrade

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
)

// The state's file: a mark with the form's version, the length of what follows, JSON, and its
// CRC-32C. It is written aside and renamed, so that a reader sees a whole one or the one before.
const (
	stateMark   = "foxlift state 1\n"
	stateSuffix = ".state"
	stateMost   = 8 << 20 // bytes; the directory may count as memory
	lengthSize  = 4
	sumSize     = 4
)

// ErrState means that a state's file is torn, of another form or of another program's version.
var ErrState = errors.New("the state of the older process cannot be read")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save writes a state, as JSON, for the other process. It replaces the one before.
func (p *Place) Save(state any) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if len(text) > stateMost-len(stateMark)-lengthSize-sumSize {
		return fmt.Errorf("a state of %d bytes is over %d", len(text), stateMost)
	}
	data := append([]byte(stateMark), binary.BigEndian.AppendUint32(nil, uint32(len(text)))...)
	data = append(data, text...)
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(text, castagnoli))
	aside := p.statePath() + ".new"
	if err := os.WriteFile(aside, data, 0o600); err != nil {
		return err
	}
	return os.Rename(aside, p.statePath())
}

// Load reads the state that the other process has written last. The error is os.ErrNotExist where
// there is none, and ErrState where it cannot be used.
func (p *Place) Load(state any) error {
	if info, err := os.Stat(p.statePath()); err == nil && info.Size() > stateMost {
		return fmt.Errorf("%w: too long", ErrState)
	}
	data, err := os.ReadFile(p.statePath())
	if err != nil {
		return err
	}
	head := len(stateMark) + lengthSize
	if len(data) < head+sumSize || string(data[:len(stateMark)]) != stateMark {
		return fmt.Errorf("%w: not of this form", ErrState)
	}
	length := int(binary.BigEndian.Uint32(data[len(stateMark):]))
	if len(data) != head+length+sumSize {
		return fmt.Errorf("%w: torn", ErrState)
	}
	text, sum := data[head:head+length], binary.BigEndian.Uint32(data[head+length:])
	if crc32.Checksum(text, castagnoli) != sum {
		return fmt.Errorf("%w: its checksum differs", ErrState)
	}
	if err := json.Unmarshal(text, state); err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	return nil
}

// Discard removes the state, so that no later process takes it for new.
func (p *Place) Discard() { os.Remove(p.statePath()) }

func (p *Place) statePath() string { return p.path + stateSuffix }
