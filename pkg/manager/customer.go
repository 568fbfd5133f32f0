package manager

import (
	"crypto/sha256"
	"encoding/base64"
)

// CustomerID identifies a customer. Jobs that were submitted without a key have none.
type CustomerID string

// KeyDigest is the hash of an API key, or empty for a call without a key. Keys themselves leave the adapter only inside the
// operator's document.
type KeyDigest string

// String hides the digest, so that formatting a call or a configuration logs no credential.
func (KeyDigest) String() string { return "(hidden)" }

// DigestKey returns the digest of an API key. Looking it up takes the same time however much of a guessed key is right.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(base64.RawStdEncoding.EncodeToString(sum[:]))
}

// CustomerSettings is the configuration of a customer.
type CustomerSettings struct {
	Customer CustomerID
	Keys     []KeyDigest `json:",omitempty"`
	// Weight is the number of jobs per second that the customer is entitled to have served; others are surplus.
	Weight float64 `json:",omitempty"`
	// Cap limits what the customer's tasks use on all workers together. A resource of 0 is not limited.
	Cap Resources `json:",omitzero"`
}

// Authorize returns the customer that a call on a queue is made for. It is empty for a call without a key on a queue that
// allows that, and where the configuration asks for no keys.
func (c *FleetConfiguration) Authorize(q QueueSettings, key KeyDigest) (CustomerID, error) {
	switch {
	case !c.RequiresKeys:
		return "", nil
	case key == "" && q.AllowsAnonymous:
		return "", nil
	case key == "":
		return "", ErrUnauthorized{Reason: "the call has no API key"}
	}
	customer, ok := c.customerOf(key)
	if !ok {
		return "", ErrUnauthorized{Reason: "the API key is not known"}
	}
	return customer, nil
}

func (c *FleetConfiguration) customerOf(key KeyDigest) (CustomerID, bool) {
	if c.byKey != nil {
		i, ok := c.byKey[key]
		if !ok {
			return "", false
		}
		return c.Customers[i].Customer, true
	}
	for _, s := range c.Customers {
		for _, k := range s.Keys {
			if k == key {
				return s.Customer, true
			}
		}
	}
	return "", false
}

// Customer returns the settings of a customer.
func (c *FleetConfiguration) Customer(id CustomerID) (CustomerSettings, bool) {
	if c.byCustomer != nil {
		i, ok := c.byCustomer[id]
		if !ok {
			return CustomerSettings{}, false
		}
		return c.Customers[i], true
	}
	for _, s := range c.Customers {
		if s.Customer == id {
			return s, true
		}
	}
	return CustomerSettings{}, false
}
