package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block of a prompt, in bytes.
	BlockBytes = 256
	// MaxBlocks bounds the number of blocks of a prompt that are hashed.
	MaxBlocks = 64
)

// Hashes returns the chained hashes of the complete blocks of a prompt, the
// shortest prefix first. Prompts that cannot share a cache, for example those of
// different services or adapters, must have different scopes.
func Hashes(scope, prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	last := xxhash.Sum64String(scope)
	var d xxhash.Digest
	var link [8]byte
	for i := range hashes {
		d.Reset()
		binary.LittleEndian.PutUint64(link[:], last)
		_, _ = d.Write(link[:]) // never fails
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		last = d.Sum64()
		hashes[i] = last
	}
	return hashes
}
