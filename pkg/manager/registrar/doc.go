// Package registrar keeps the membership of upstreams from their announcements and from gossip
// between gateways. Ages are carried with each entry, so that no two wall clocks are compared.
package registrar
