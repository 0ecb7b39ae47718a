package loopback

import (
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// Addresses that are reserved together must differ: a VM with one address for two purposes does not start. A port that is closed before the
// next one is chosen can be chosen again, so with half of the ports of an address the chance of a repeat is next to certain.
func TestReservedAddressesDiffer(t *testing.T) {
	const ports = 500
	is := is.New(t)
	addresses, err := Reserve(IP(1), ports)
	is.NoErr(err)
	seen := map[chestnutcleat.Address]bool{}
	for _, a := range addresses {
		seen[a] = true
	}
	is.Equal(len(seen), ports)
}
