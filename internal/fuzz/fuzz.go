// Package fuzz checks properties of byte inputs that are drawn from fixed random seeds: the same inputs
// each time, on every machine, so that plain go test covers what native fuzzing has found. It is for
// tests alone and owns no state. The inputs are mutations of the test's own: bits, cuts, copies, joins,
// and tokens and numbers at the limits of parsers.
package fuzz

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// tokens are those of this program's parsers, and values at their limits.
var tokens = []string{
	"\r\n", "\n", "\r", "\x00", " ", "\t", ":", ",", ";",
	"0", "-1", "+5", "1e400", "NaN", "9223372036854775807", "18446744073709551616", "0x10",
	"{", "}", "[", "]", "\"", "null",
	"chunked", "Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n", "HTTP/1.1",
	"(", ")", "\\",
	"\xff", "é", `\u0000`,
}

// Run checks a property on the seeds and on n mutations of them.
func Run(t *testing.T, seed uint64, n int, seeds [][]byte, check func(testing.TB, []byte)) {
	t.Helper()
	for _, s := range seeds {
		check(t, bytes.Clone(s))
	}
	rng := rand.New(rand.NewPCG(seed, 0xf0))
	for range n {
		check(t, Mutate(rng, seeds))
	}
}

const (
	maxInputBytes = 8 << 10 // bytes
	maxMutations  = 4
	maxPieceBytes = 40 // bytes that one mutation changes
)

// Mutate returns a mutation of one of the seeds.
func Mutate(rng *rand.Rand, seeds [][]byte) []byte {
	data := bytes.Clone(seeds[rng.IntN(len(seeds))])
	if len(data) > maxInputBytes {
		data = data[:maxInputBytes]
	}
	for range 1 + rng.IntN(maxMutations) {
		start := rng.IntN(len(data) + 1)
		end := min(len(data), start+rng.IntN(1+min(maxPieceBytes, len(data)-start)))
		switch rng.IntN(8) {
		case 0: // a byte changed
			if start < len(data) {
				data[start] ^= 1 << rng.IntN(8)
			}
		case 1: // a byte of any value
			if start < len(data) {
				data[start] = byte(rng.IntN(256))
			}
		case 2: // a piece removed
			data = append(data[:start:start], data[end:]...)
		case 3: // a piece repeated
			data = append(data[:end:end], data[start:]...)
		case 4: // truncated
			data = data[:start]
		case 5: // a token inserted
			data = append(data[:start:start], append([]byte(tokens[rng.IntN(len(tokens))]), data[start:]...)...)
		case 6: // a piece replaced by a token
			data = append(data[:start:start], append([]byte(tokens[rng.IntN(len(tokens))]), data[end:]...)...)
		case 7: // part of another seed in the place of the rest
			other := seeds[rng.IntN(len(seeds))]
			data = append(data[:start:start], other[min(len(other), rng.IntN(1+min(len(other), maxInputBytes))):]...)
		}
		if len(data) > maxInputBytes {
			data = data[:maxInputBytes]
		}
	}
	return data
}
