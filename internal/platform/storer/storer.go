// Package storer is the client of the platform's object API: values with
// versions, conditional updates, watches, and the list of live and leaving
// VMs. Every call is bounded in time. A write whose answer is lost may have
// taken effect, and says so.
//
// # Usage
//
//	s := storer.New("10.0.0.1:7000")
//	obj, err := s.Get(ctx, "head")
//	version, err := s.Put(ctx, "head", body, obj.Version)
//	if errors.Is(err, storer.ErrLost) {
//		// The write may have taken effect; read to find out.
//	}
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// VersionHeader carries an object's version in answers.
const VersionHeader = "Version"

// Absent is the version of an object that does not exist.
const Absent Version = 0

const (
	callTime     = 3 * time.Second
	maxValue     = 1 << 20
	maxListBytes = 8 << 20
)

// The errors of the object API.
var (
	ErrMissing  = errors.New("no such object")
	ErrConflict = errors.New("the object has another version")
	ErrLost     = errors.New("the platform's answer was lost; the write may have taken effect")
)

type (
	// Version counts an object's writes.
	Version uint64

	// Object is a value with its version.
	Object struct {
		Body    []byte
		Version Version
	}

	// ListedVM is an entry VM on the platform's list, which lags.
	ListedVM struct {
		VM      namer.VM   `json:"vm"`
		Zone    namer.Zone `json:"zone"`
		Peers   string     `json:"peers"`
		Leaving bool       `json:"leaving"`
	}

	// Storer calls the platform.
	Storer struct {
		base   string
		client *http.Client
	}
)

// New returns a client of the platform at an address.
func New(address string) (*Storer, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	s := &Storer{base: "http://" + address + "/v1/", client: &http.Client{Transport: transport}}
	return s, transport.CloseIdleConnections
}

// Get returns an object.
func (s *Storer) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return s.read(ctx, s.objectURL(key, ""))
}

// Watch returns the object once its version is above the one given, or as it
// is when the wait ends.
func (s *Storer) Watch(ctx context.Context, key string, above Version, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	query := fmt.Sprintf("?above=%d&wait=%s", above, wait)
	return s.read(ctx, s.objectURL(key, query))
}

// Put writes an object if its version is still the one given, and returns the
// new version. Absent writes it only if it does not exist.
func (s *Storer) Put(ctx context.Context, key string, body []byte, version Version) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	target := s.objectURL(key, fmt.Sprintf("?version=%d", version))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "building a write")
	}
	// Without GetBody the transport can't send the write a second time.
	req.GetBody = nil
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "writing %s", key), ErrLost)
	}
	defer func() { _ = resp.Body.Close() }()
	defer drain(resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK:
		return versionOf(resp)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return 0, errors.Wrapf(ErrConflict, "writing %s", key)
	case resp.StatusCode >= http.StatusInternalServerError:
		return 0, errors.Mark(errors.Newf("writing %s: status %d", key, resp.StatusCode), ErrLost)
	}
	return 0, errors.Newf("writing %s: status %d", key, resp.StatusCode)
}

// VMs returns the platform's list of live and leaving VMs.
func (s *Storer) VMs(ctx context.Context) ([]ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	resp, err := s.get(ctx, s.base+"vms")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("listing VMs: status %d", resp.StatusCode)
	}
	var vms []ListedVM
	err = json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&vms)
	return vms, errors.Wrap(err, "listing VMs")
}

func (s *Storer) objectURL(key, query string) string {
	return s.base + "objects/" + url.PathEscape(key) + query
}

func (s *Storer) read(ctx context.Context, target string) (Object, error) {
	resp, err := s.get(ctx, target)
	if err != nil {
		return Object{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	defer drain(resp.Body)
	if resp.StatusCode == http.StatusNotFound {
		return Object{}, ErrMissing
	}
	if resp.StatusCode != http.StatusOK {
		return Object{}, errors.Newf("reading: status %d", resp.StatusCode)
	}
	version, err := versionOf(resp)
	if err != nil {
		return Object{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxValue+1))
	return Object{Body: body, Version: version}, errors.Wrap(err, "reading")
}

func (s *Storer) get(ctx context.Context, target string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building a read")
	}
	resp, err := s.client.Do(req)
	return resp, errors.Wrap(err, "reading")
}

func versionOf(resp *http.Response) (Version, error) {
	var v Version
	_, err := fmt.Sscan(resp.Header.Get(VersionHeader), &v)
	return v, errors.Wrap(err, "reading a version")
}

// drain reads what is left, so that the connection can be used again.
func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxValue))
}
