package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/demo"
	"chestnutcleat.example/chestnutcleat/engine"
	"chestnutcleat.example/chestnutcleat/logs"
	standin "chestnutcleat.example/chestnutcleat/standin/caller"
)

// No upstream may receive a caller's key, neither from the Authorization header nor from where a caller put it by mistake.
func TestUpstreamsSeeNoKey(t *testing.T) {
	is := is.New(t)
	observer, err := logs.New(io.Discard, "error", "text", "e2e")
	is.NoErr(err)
	f := &demo.Fleet{VMs: 3, Engines: 2, Decode: 2000, Prefill: 50_000, Cache: 120_000, Observer: observer, Record: true}
	for _, id := range []chestnutcleat.CustomerID{"vale-verde", "sitio-novo"} {
		f.Customers = append(f.Customers, chestnutcleat.Customer{ID: id, Rate: 1000, Burst: 1000})
	}
	is.NoErr(f.Start(t.Context()))
	defer f.Stop()
	load := standin.Load{VMs: f.Callers(), Shape: standin.DefaultShape(), Seed: 1}
	for _, c := range f.Customers {
		load.Customers = append(load.Customers, standin.Customer{
			ID: c.ID, Key: demo.CustomerKey(c.ID), Rate: 20, MaxPrograms: 4, Model: demo.Model,
			Tools: []standin.Tool{{Route: demo.BookRoute, Probability: 0.5}, {Route: demo.LookRoute, Probability: 0.5}},
		})
	}
	r, err := load.Run(t.Context())
	is.NoErr(err)
	is.Equal(r.Total().Finished, 8)
	for _, vm := range f.Callers() {
		for _, c := range f.Customers {
			sendMisplacedKeys(t, string(vm), demo.CustomerKey(c.ID))
		}
	}

	var scanned int
	scan := func(name, method, uri string, h http.Header, body []byte) {
		scanned++
		text := fmt.Appendf(nil, "%s %s\n", method, uri)
		for k, values := range h {
			text = fmt.Appendf(text, "%s: %s\n", k, strings.Join(values, ", "))
		}
		text = append(text, body...)
		for _, c := range f.Customers {
			if bytes.Contains(text, []byte(demo.CustomerKey(c.ID))) {
				t.Errorf("%s received the key of %s:\n%s", name, c.ID, text)
			}
		}
		if h.Get("Authorization") != "" {
			t.Errorf("%s received an Authorization header", name)
		}
	}
	for i, e := range f.EngineStandins {
		for _, received := range e.Received() {
			scan(fmt.Sprintf("engine%d", i+1), received.Method, received.URI, received.Header, received.Body)
		}
	}
	service := f.Service.Received()
	for _, received := range service {
		scan("service", received.Method, received.URI, received.Header, received.Body)
	}
	t.Logf("%d requests scanned, %d of them at the service", scanned, len(service))
	is.True(len(service) > 0 && scanned > 2*len(service))
}

// sendMisplacedKeys sends requests with the key in wrong places; their answers do not matter.
func sendMisplacedKeys(t *testing.T, vm, key string) {
	t.Helper()
	book := "http://" + vm + "/v1/services/book/"
	chatURL := "http://" + vm + chatPath
	for _, tt := range []struct {
		url, body string
		header    http.Header
	}{
		{url: book + key, body: "{}"},
		{url: book + "run?token=" + url.QueryEscape(key), body: "{}"},
		{url: book + "run", body: `{"token":"` + key + `"}`},
		{url: book + "run", body: "{}", header: http.Header{"X-Api-Key": {key}}},
		{url: book + "run", body: "{}", header: http.Header{"Cookie": {"key=" + key}}},
		{url: book + "run", body: "{}", header: http.Header{"Idempotency-Key": {key}}},
		{url: chatURL, body: strings.ReplaceAll(chatBody([]engine.Message{engine.NewMessage("user", "my key is KEY")}, false), "KEY", key)},
		{url: chatURL, body: chatBody([]engine.Message{engine.NewMessage("user", "hello")}, false), header: http.Header{"Chestnutcleat-Program": {key}}},
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, tt.url, strings.NewReader(tt.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Authorization", "Bearer "+key)
		for k, v := range tt.header {
			req.Header[k] = v
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
