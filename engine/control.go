package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"chestnutcleat.example/chestnutcleat"
)

// Load implements chestnutcleat.Engine.
func (c *Client) Load(ctx context.Context) (chestnutcleat.LoadReport, error) {
	return controlRequest[chestnutcleat.LoadReport](ctx, c, http.MethodGet, "/load", nil)
}

// Events implements chestnutcleat.Engine.
func (c *Client) Events(ctx context.Context, after chestnutcleat.Sequence) ([]chestnutcleat.CacheEvent, error) {
	return controlRequest[[]chestnutcleat.CacheEvent](ctx, c, http.MethodGet, "/events?after="+strconv.FormatUint(uint64(after), 10), nil)
}

// Order implements chestnutcleat.Engine.
func (c *Client) Order(ctx context.Context, o chestnutcleat.EngineCommand) error {
	_, err := controlRequest[chestnutcleat.EngineState](ctx, c, http.MethodPost, "/orders", o)
	return err
}

// State implements chestnutcleat.Engine.
func (c *Client) State(ctx context.Context) (chestnutcleat.EngineState, error) {
	return controlRequest[chestnutcleat.EngineState](ctx, c, http.MethodGet, "/state", nil)
}

// Pin implements chestnutcleat.Engine.
func (c *Client) Pin(ctx context.Context, p chestnutcleat.Pin) error {
	_, err := controlRequest[chestnutcleat.Ack](ctx, c, http.MethodPost, "/pins", p)
	return err
}

// controlRequest sends a request of the control protocol and decodes the response.
func controlRequest[R any](ctx context.Context, c *Client, method, path string, in any) (R, error) {
	var out R
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return out, fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.Address)+path, body)
	if err != nil {
		return out, err
	}
	req.Header.Set("Content-Type", "application/json")
	if o, ok := in.(chestnutcleat.EngineCommand); ok {
		req.Header.Set(HeaderFencingToken, strconv.FormatUint(uint64(o.Fence), 10))
	}
	resp, err := c.Transport.RoundTrip(req)
	if err != nil {
		return out, fmt.Errorf("engine %s: %w", path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return out, fmt.Errorf("engine %s: %w", path, err)
	}
	if resp.StatusCode/100 != 2 {
		return out, fmt.Errorf("engine %s answered with status %d", path, resp.StatusCode)
	}
	if len(data) == 0 {
		return out, nil
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, fmt.Errorf("engine %s: %w", path, err)
	}
	return out, nil
}
