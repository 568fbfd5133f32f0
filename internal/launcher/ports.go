package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// firstPort and lastPort lie below the ports that Linux gives to outgoing connections, so that none of
// those can take an address between the choice of it and its use.
const (
	firstPort = 15_000
	lastPort  = 32_000
	maxTries  = 200
)

// given holds the ports that this process has chosen before.
var given = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// FreeAddress returns a loopback address that no one listens on now and that it has not returned before.
func FreeAddress() (manager.Address, error) {
	given.Lock()
	defer given.Unlock()
	var last error
	for range maxTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if given.ports[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			last = err
			continue
		}
		_ = l.Close()
		given.ports[port] = true
		return manager.Address(address), nil
	}
	return "", fmt.Errorf("find free address: %w", last)
}
