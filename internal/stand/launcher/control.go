package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// controlTime bounds one call to a stand-in.
const controlTime = 5 * time.Second

// Put sends a stand-in a control as JSON.
func Put(ctx context.Context, address, path string, body any) error {
	return call(ctx, http.MethodPut, address, path, body, nil)
}

// Post sends a stand-in a command.
func Post(ctx context.Context, address, path string) error {
	return call(ctx, http.MethodPost, address, path, nil, nil)
}

// Get reads what a stand-in has to tell.
func Get(ctx context.Context, address, path string, into any) error {
	return call(ctx, http.MethodGet, address, path, nil, into)
}

func call(ctx context.Context, method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encoding a control")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "building a control")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "controlling %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("controlling %s%s: status %d", address, path, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "reading a stand-in's answer")
}
