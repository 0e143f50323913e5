// Package rendezvous assigns keys to names by highest random weight (rendezvous
// hashing). All instances with the same names assign a key to the same one, and a
// change of the names moves only the keys of those that came or went.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Highest returns the name with the highest hash for the key, or an empty string
// if there are no names.
func Highest(key string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(key+"/"+a), xxhash.Sum64String(key+"/"+b))
	})
}
