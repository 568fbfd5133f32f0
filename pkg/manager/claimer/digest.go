package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Identity is what a claim is bound to.
type Identity struct {
	Authorization string
	Method        string
	Path          string
	Body          []byte
}

// Digest returns the digest of an identity; the parts are separated so that none can pose as another.
func Digest(id Identity) manager.ClaimDigest {
	h := sha256.New()
	for _, part := range []string{id.Authorization, id.Method, id.Path} {
		writePart(h, part)
	}
	h.Write(id.Body)
	return manager.ClaimDigest(hex.EncodeToString(h.Sum(nil)))
}

func writePart(h hash.Hash, part string) {
	sum := sha256.Sum256([]byte(part))
	h.Write(sum[:])
}
