package authenticator

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
)

const (
	// Header is the request header that carries a key. It is dropped where the document has
	// accounts.
	Header = "Authorization"
	// Challenge is the value of WWW-Authenticate in a response that asks for a key.
	Challenge = scheme
	// scheme is the only authentication scheme (RFC 6750). Its case doesn't matter.
	scheme = "Bearer"
	// maxKeyBytes is the longest key. Longer ones are refused without being hashed.
	maxKeyBytes = 512
)

// Credential is what a request says of its account: the digest of its key, or why there is
// none. It is comparable. The key itself is not kept.
type Credential struct {
	hash parser.KeyHash
	// present is whether there is a key.
	present bool
	// problem is why there is none. It is empty in a Credential{}, the one of a request without
	// the header.
	problem Denial
}

// Parse returns the credential in the headers of a request. A request with several headers
// carries none, even if they are equal.
func Parse(h http.Header) Credential {
	values := h[Header]
	if len(values) == 0 {
		return Credential{}
	}
	if len(values) > 1 {
		return Credential{problem: SeveralCredentials}
	}
	name, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(name, scheme) {
		return Credential{problem: OtherScheme}
	}
	key = strings.Trim(key, " ")
	switch {
	case key == "" || !isToken(key):
		return Credential{problem: MalformedCredential}
	case len(key) > maxKeyBytes:
		return Credential{problem: OversizedCredential}
	}
	// A copy on the stack, since the conversion of a long string allocates.
	var text [maxKeyBytes]byte
	n := copy(text[:], key)
	return Credential{hash: sha256.Sum256(text[:n]), present: true}
}

// isToken reports whether a key has visible ASCII characters only, as in a header that
// carries one credential. A comma would begin a second one.
func isToken(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' || key[i] == ',' {
			return false
		}
	}
	return true
}
