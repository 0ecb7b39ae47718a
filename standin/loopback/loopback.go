package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"chestnutcleat.example/chestnutcleat"
)

// IP returns loopback address i of this process, i from 1 to 254. Other processes use other ones, and outgoing connections begin at
// 127.0.0.1, so that neither takes a port there.
func IP(i int) string {
	const first, folders, hosts = 64, 64, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", first+pid/hosts%folders, 1+pid%hosts, i)
}

// Reserve returns n different addresses with free ports at an IP address; they are free again when it returns.
func Reserve(ip string, n int) ([]chestnutcleat.Address, error) {
	var reserved []chestnutcleat.Address
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("reserve a port at %s: %w", ip, err)
		}
		// Each listener stays open until all ports are known: the port of a closed one may be given out again.
		defer l.Close()
		reserved = append(reserved, chestnutcleat.Address(l.Addr().String()))
	}
	return reserved, nil
}

// Port returns the port of an address that Reserve returned.
func Port(a chestnutcleat.Address) (int, error) {
	_, port, err := net.SplitHostPort(string(a))
	if err != nil {
		return 0, fmt.Errorf("port of %q: %w", a, err)
	}
	return strconv.Atoi(port)
}
