package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// controlTimeout bounds one control request to a test double.
const controlTimeout = 5 * time.Second

// Put sends body as JSON to a control endpoint of a test double, such as its
// fault settings.
func Put(ctx context.Context, address, path string, body any) error {
	return call(ctx, http.MethodPut, address, path, body, nil)
}

// Post calls a control endpoint of a test double, without a body.
func Post(ctx context.Context, address, path string) error {
	return call(ctx, http.MethodPost, address, path, nil, nil)
}

// Get decodes the JSON response of a test double into a value.
func Get(ctx context.Context, address, path string, into any) error {
	return call(ctx, http.MethodGet, address, path, nil, into)
}

func call(ctx context.Context, method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encoding a control request")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "building a control request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "sending a control request to %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("control request to %s%s: status %d", address, path, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decoding the response to a control request")
}
