package registrar

import (
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// index maps services and addresses to sorted lists of upstreams.
type index struct {
	services  map[manager.ServiceID][]manager.UpstreamID
	addresses map[manager.Address][]manager.UpstreamID
}

func (x *index) init() {
	x.services = map[manager.ServiceID][]manager.UpstreamID{}
	x.addresses = map[manager.Address][]manager.UpstreamID{}
}

func (x *index) add(a manager.Announcement) {
	x.services[a.Service] = insert(x.services[a.Service], a.Upstream)
	x.addresses[a.Address] = insert(x.addresses[a.Address], a.Upstream)
}

func (x *index) remove(a manager.Announcement) {
	remove(x.services, a.Service, a.Upstream)
	remove(x.addresses, a.Address, a.Upstream)
}

func insert(list []manager.UpstreamID, id manager.UpstreamID) []manager.UpstreamID {
	i, found := slices.BinarySearch(list, id)
	if found {
		return list
	}
	return slices.Insert(list, i, id)
}

func remove[K comparable](lists map[K][]manager.UpstreamID, key K, id manager.UpstreamID) {
	list := lists[key]
	i, found := slices.BinarySearch(list, id)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(lists, key)
		return
	}
	lists[key] = slices.Delete(list, i, i+1)
}
