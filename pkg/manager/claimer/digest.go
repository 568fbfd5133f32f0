package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Identity holds the parts of a request that its claim is bound to: a resend must match all of them.
type Identity struct {
	Authorization string
	Method        string
	Path          string
	Body          []byte
}

// Digest returns the digest of an identity. The parts before the body are hashed one by one, so that moving bytes
// from one part to the next changes the digest.
func Digest(id Identity) manager.ClaimDigest {
	h := sha256.New()
	for _, part := range []string{id.Authorization, id.Method, id.Path} {
		hashPart(h, part)
	}
	h.Write(id.Body)
	return manager.ClaimDigest(hex.EncodeToString(h.Sum(nil)))
}

func hashPart(h hash.Hash, part string) {
	sum := sha256.Sum256([]byte(part))
	h.Write(sum[:])
}
