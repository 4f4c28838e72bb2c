// Package fuzz checks properties on byte inputs that it generates from a fixed random seed. The inputs are the same in
// every run and on every machine, so that plain go test covers what native fuzzing has found. Each input is a mutation
// of one of the test's seeds: changed bits and bytes, removed and repeated pieces, truncation, parts of other seeds,
// and tokens and numbers at the limits of parsers. Only tests use the package; it keeps no state.
package fuzz

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// tokens are the tokens of this program's parsers, and values at the limits of these parsers.
var tokens = []string{
	"\r\n", "\n", "\r", "\x00", " ", "\t", ":", ",", ";",
	"0", "-1", "+5", "1e400", "NaN", "9223372036854775807", "18446744073709551616", "0x10",
	"{", "}", "[", "]", "\"", "null",
	"chunked", "Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n", "HTTP/1.1",
	"(", ")", "\\",
	"\xff", "é", `\u0000`,
}

// Run calls check with each of the seeds and with n mutations of them, which the random seed determines.
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
	maxMutations  = 4       // of one input
	maxPieceBytes = 40      // bytes that one mutation changes
)

// Mutate returns a copy of a random seed with up to maxMutations random mutations, at most maxInputBytes long.
func Mutate(rng *rand.Rand, seeds [][]byte) []byte {
	data := bytes.Clone(seeds[rng.IntN(len(seeds))])
	if len(data) > maxInputBytes {
		data = data[:maxInputBytes]
	}
	for range 1 + rng.IntN(maxMutations) {
		start := rng.IntN(len(data) + 1)
		end := min(len(data), start+rng.IntN(1+min(maxPieceBytes, len(data)-start)))
		switch rng.IntN(8) {
		case 0: // flip a bit
			if start < len(data) {
				data[start] ^= 1 << rng.IntN(8)
			}
		case 1: // set a byte to any value
			if start < len(data) {
				data[start] = byte(rng.IntN(256))
			}
		case 2: // remove a piece
			data = append(data[:start:start], data[end:]...)
		case 3: // repeat a piece
			data = append(data[:end:end], data[start:]...)
		case 4: // truncate
			data = data[:start]
		case 5: // insert a token
			data = append(data[:start:start], append([]byte(tokens[rng.IntN(len(tokens))]), data[start:]...)...)
		case 6: // replace a piece by a token
			data = append(data[:start:start], append([]byte(tokens[rng.IntN(len(tokens))]), data[end:]...)...)
		case 7: // replace the rest by the end of a seed
			other := seeds[rng.IntN(len(seeds))]
			data = append(data[:start:start], other[min(len(other), rng.IntN(1+min(len(other), maxInputBytes))):]...)
		}
		if len(data) > maxInputBytes {
			data = data[:maxInputBytes]
		}
	}
	return data
}
