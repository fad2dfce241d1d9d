package authenticator_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const key = "k-0123456789abcdef"

func index() *authenticator.Index {
	return authenticator.New([]parser.Account{
		{Name: "first", Keys: []parser.KeyHash{parser.HashKey(key), parser.HashKey("second-key")}},
		{Name: "longest", Keys: []parser.KeyHash{parser.HashKey(strings.Repeat("k", 512))}},
		{Name: "keyless"},
	})
}

// TestIdentify checks which account each form of the header gets, or why it gets none.
func TestIdentify(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		header  []string
		account namer.Account
		denial  authenticator.Denial
	}{
		{"key", []string{"Bearer " + key}, "first", authenticator.None},
		{"second key", []string{"Bearer second-key"}, "first", authenticator.None},
		{"scheme in another case", []string{"bEARER  " + key + " "}, "first", authenticator.None},
		{"longest key", []string{"Bearer " + strings.Repeat("k", 512)}, "longest", authenticator.None},
		{"no header", nil, "", authenticator.NoCredential},
		{"several headers", []string{"Bearer " + key, "Bearer " + key}, "", authenticator.SeveralCredentials},
		{"several keys", []string{"Bearer " + key + ",Bearer second-key"}, "", authenticator.MalformedCredential},
		{"empty header", []string{""}, "", authenticator.OtherScheme},
		{"no key", []string{"Bearer "}, "", authenticator.MalformedCredential},
		{"no space", []string{"Bearer" + key}, "", authenticator.OtherScheme},
		{"inner space", []string{"Bearer " + key + " x"}, "", authenticator.MalformedCredential},
		{"tab", []string{"Bearer\t" + key}, "", authenticator.OtherScheme},
		{"not ASCII", []string{"Bearer k\u00e9y"}, "", authenticator.MalformedCredential},
		{"other scheme", []string{"Basic " + key}, "", authenticator.OtherScheme},
		{"oversized key", []string{"Bearer " + strings.Repeat("k", 513)}, "", authenticator.OversizedCredential},
		{"unknown key", []string{"Bearer " + key + "x"}, "", authenticator.UnknownKey},
		{"key in another case", []string{"Bearer " + strings.ToUpper(key)}, "", authenticator.UnknownKey},
		{"digest in place of the key", []string{"Bearer " + parser.HashKey(key).String()}, "", authenticator.UnknownKey},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			header := http.Header{}
			if tc.header != nil {
				header["Authorization"] = tc.header
			}
			c := authenticator.Parse(header)
			assert.Equal(t, c, authenticator.Parse(header))
			account, denial := index().Identify(c)
			assert.Equal(t, denial, tc.denial)
			assert.Equal(t, account != nil, denial == authenticator.None)
			if account != nil {
				assert.Equal(t, account.Name, tc.account)
			}
			assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", c), key), "the credential holds the key")
		})
	}
}

func TestExcludes(t *testing.T) {
	t.Parallel()
	a, b := []namer.Region{"a", "c"}, []namer.Region{"b", "c"}
	assert.Assert(t, !authenticator.Excludes(a, b))
	assert.Assert(t, !authenticator.Excludes(a, nil))
	assert.Assert(t, !authenticator.Excludes(nil, b))
	assert.Assert(t, authenticator.Excludes(a[:1], b))
}

// FuzzParse checks that a header is identified only if it carries exactly a key of an account.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"Bearer " + key, "bearer  second-key ", "Basic x", "Bearer", "Bearer a,b", "Bearer \x00", ""} {
		f.Add(seed)
	}
	x := index()
	f.Fuzz(func(t *testing.T, value string) {
		account, denial := x.Identify(authenticator.Parse(http.Header{"Authorization": {value}}))
		if (account != nil) != (denial == authenticator.None) {
			t.Fatal("an account and a denial")
		}
		if account == nil {
			return
		}
		scheme, rest, _ := strings.Cut(value, " ")
		held := map[string]namer.Account{key: "first", "second-key": "first", strings.Repeat("k", 512): "longest"}[strings.Trim(rest, " ")]
		if !strings.EqualFold(scheme, "bearer") || held != account.Name {
			t.Fatalf("%q is accepted as a key of %s", value, account.Name)
		}
	})
}

// BenchmarkIdentify measures what authentication adds to a request at 1,000 accounts with two
// keys each.
func BenchmarkIdentify(b *testing.B) {
	accounts := make([]parser.Account, 1000)
	headers := make([]http.Header, len(accounts))
	for i := range accounts {
		text := fmt.Sprintf("account-%04d-0123456789abcdef0123456789abcdef", i)
		accounts[i] = parser.Account{Name: namer.Account(text[:12]), Keys: []parser.KeyHash{parser.HashKey(text), parser.HashKey(text + "-2")}}
		headers[i] = http.Header{"Authorization": {"Bearer " + text}}
	}
	x := authenticator.New(accounts)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, denial := x.Identify(authenticator.Parse(headers[i%len(headers)])); denial != authenticator.None {
			b.Fatal(denial)
		}
	}
}
