package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// port lies below the ports that the kernel gives to outgoing connections, so that none of those
	// can take an address between the choice of it and its use.
	port = 9_080
	// lastPart bounds a part of an address; 255 is a broadcast address.
	lastPart = 254
	maxTries = 200
)

// FreeAddress returns an address of the loopback network that no one listens on now. Each is drawn from
// the whole network, so that tests which run at once do not draw the same one.
func FreeAddress() (manager.Address, error) {
	var last error
	for range maxTries {
		address := fmt.Sprintf("127.%d.%d.%d:%d", part(), part(), part(), port)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			last = err
			continue
		}
		_ = l.Close()
		return manager.Address(address), nil
	}
	return "", fmt.Errorf("find free address: %w", last)
}

func part() int { return 1 + rand.IntN(lastPart) }

// FreeNetwork returns three parts of a loopback network whose addresses no one listens on now.
func FreeNetwork() (string, error) {
	for range maxTries {
		network := fmt.Sprintf("127.%d.%d", part(), part())
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("%s.1:%d", network, port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return network, nil
	}
	return "", fmt.Errorf("find free network: %w", errNoneFree)
}

var errNoneFree = eris.New("every one that was tried is in use")
