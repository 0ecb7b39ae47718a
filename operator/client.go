package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
)

// maxAnswerBytes bounds the body of an answer; manifests of thousands of customers take less than a megabyte.
const maxAnswerBytes = 16 << 20

// Client is a client of the operator interface of one VM.
type Client struct {
	// Address is the IP:port of the VM's listener for operators.
	Address chestnutcleat.Address
	// Who is the name of the operator, which each request carries.
	Who string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Error implements error.
func (p *Problem) Error() string { return p.Problem.Error() }

// Manifest returns the manifest in effect.
func (c *Client) Manifest(ctx context.Context) (chestnutcleat.Manifest, error) {
	return call[chestnutcleat.Manifest](ctx, c, http.MethodGet, "/manifest", nil, nil)
}

// Apply sends a manifest change; if the VM refuses it, the error is of type *Problem.
func (c *Client) Apply(ctx context.Context, m manifest.Change) (manifest.Accepted, error) {
	h := http.Header{"If-Match": {strconv.FormatUint(uint64(m.Base), 10)}}
	if m.ID != "" {
		h.Set(HeaderChange, string(m.ID))
	}
	return call[manifest.Accepted](ctx, c, http.MethodPut, "/manifest", h, m.Raw)
}

// Give adds a key to a customer.
func (c *Client) Give(ctx context.Context, q GiveRequest) (KeyReply, error) {
	data, err := json.Marshal(q)
	if err != nil {
		return KeyReply{}, err
	}
	return call[KeyReply](ctx, c, http.MethodPost, "/keys", nil, data)
}

// Withdraw revokes a key.
func (c *Client) Withdraw(ctx context.Context, d chestnutcleat.Digest) (KeyReply, error) {
	return call[KeyReply](ctx, c, http.MethodDelete, "/keys/"+d.String(), nil, nil)
}

// VMs returns the VMs of the fleet.
func (c *Client) VMs(ctx context.Context) ([]chestnutcleat.VM, error) {
	return call[[]chestnutcleat.VM](ctx, c, http.MethodGet, "/vms", nil, nil)
}

// Upstreams returns the load and health of the upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]chestnutcleat.Load, error) {
	return call[[]chestnutcleat.Load](ctx, c, http.MethodGet, "/upstreams", nil, nil)
}

// Drain starts the graceful shutdown of a VM.
func (c *Client) Drain(ctx context.Context, id chestnutcleat.VMID) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, "/vms/"+url.PathEscape(string(id))+"/drain", nil, nil)
	return err
}

// Audit returns the audit records whose time starts with prefix.
func (c *Client) Audit(ctx context.Context, prefix string) ([]manifest.Record, error) {
	return call[[]manifest.Record](ctx, c, http.MethodGet, "/audit?time="+url.QueryEscape(prefix), nil, nil)
}

// Ready returns nil if the VM can serve callers.
func (c *Client) Ready(ctx context.Context) error {
	_, err := call[struct{}](ctx, c, http.MethodGet, "/readyz", nil, nil)
	return err
}

func call[T any](ctx context.Context, c *Client, method, path string, h http.Header, body []byte) (T, error) {
	var v T
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.Address)+path, bytes.NewReader(body))
	if err != nil {
		return v, err
	}
	for k, values := range h {
		r.Header[k] = values
	}
	r.Header.Set(HeaderOperator, c.Who)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	a, err := client.Do(r)
	if err != nil {
		return v, err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	if err != nil {
		return v, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if len(data) > maxAnswerBytes {
		return v, fmt.Errorf("%s %s: answer exceeds %d bytes", method, path, maxAnswerBytes)
	}
	if a.StatusCode >= http.StatusMultipleChoices {
		return v, decodeProblem(a.StatusCode, data)
	}
	if len(data) == 0 {
		return v, nil
	}
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode answer of %s %s: %w", method, path, err)
	}
	return v, nil
}

func decodeProblem(status int, data []byte) error {
	p := Problem{Problem: &chestnutcleat.Problem{}}
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("status %d: %s", status, data)
	}
	return &p
}
