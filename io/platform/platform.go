// Package platform is an HTTP client for the platform's table service, object store and VM list.
// docs/PLATFORM.md describes the protocol.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/store"
	"bilberrymux/io/httpread"
)

// URL paths of the protocol. The name of an object is appended to PathObjects.
const (
	PathRow      = "/v1/table/row"
	PathScan     = "/v1/table/scan"
	PathTransact = "/v1/table/transact"
	PathObjects  = "/v1/objects/"
	PathVMs      = "/v1/vms"
)

// ScanReply is the response body of a scan.
type ScanReply struct {
	Rows []store.Row `json:"rows"`
}

// TransactRequest is the request body of a transaction.
type TransactRequest struct {
	Writes []store.Write `json:"writes"`
}

// TransactReply is the response body of a transaction. It holds the revision of a committed
// transaction, or the keys whose conditions failed.
type TransactReply struct {
	Revision  store.Revision `json:"revision,omitempty"`
	Conflicts []string       `json:"conflicts,omitempty"`
}

// VMsReply is the response body of the VM list.
type VMsReply struct {
	VMs []store.VM `json:"vms"`
}

// callTimeout bounds the opening of a connection, and any call whose context has no earlier deadline.
const callTimeout = 3 * time.Second

// client sends requests to the platform at one address. It is safe for concurrent use.
type client struct {
	base string
	http *fasthttp.Client

	mu sync.Mutex
	// revisions holds the last revisions that transactions returned, in a ring whose oldest entry is at next.
	revisions [rememberedRevisions]store.Revision
	next      int
}

// rememberedRevisions is the number of revisions by which a repeated response to a transaction is recognized.
const rememberedRevisions = 1024

// isNew records the revision that a transaction returned, and reports whether no other one returned it before. The
// revisions of two transactions differ, so that the response belongs to another call otherwise.
func (c *client) isNew(r store.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.revisions[:], r) {
		return false
	}
	c.revisions[c.next] = r
	c.next = (c.next + 1) % rememberedRevisions
	return true
}

// New returns a store that calls the platform at an address over connections opened with dial. If the
// outcome of a call is unknown, its error wraps store.ErrNoResponse.
func New(address string, dial func(ctx context.Context, address string) (net.Conn, error)) *store.Store {
	c := &client{
		base: "http://" + address,
		http: &fasthttp.Client{
			// No automatic retries: a write whose response was lost may have taken effect, so it must not
			// be repeated without the caller's knowledge.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			ConfigureClient:           httpread.Configure,
			Dial: func(a string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				return dial(ctx, a)
			},
		},
	}
	return &store.Store{
		Read: c.read, Scan: c.scan, Transact: c.transact,
		PutObject: c.putObject, GetObject: c.getObject, ListVMs: c.listVMs,
	}
}

// call sends a request and returns the status and a copy of the response body. Transport errors and
// statuses of 500 and above are returned as store.ErrNoResponse.
func (c *client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", store.ErrNoResponse, err)
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return 0, nil, fmt.Errorf("%w: status %d", store.ErrNoResponse, resp.StatusCode())
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// decode parses a JSON response. A response that cannot be parsed is returned as
// store.ErrNoResponse, since it does not tell whether the call took effect.
func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("%w: invalid response: %w", store.ErrNoResponse, err)
	}
	return nil
}

// read returns the row of a key and whether it exists. A row with another key is returned as
// store.ErrNoResponse.
func (c *client) read(ctx context.Context, key string) (store.Row, bool, error) {
	status, body, err := c.call(ctx, fasthttp.MethodGet, PathRow+"?key="+url.QueryEscape(key), nil)
	if err != nil || status == fasthttp.StatusNotFound {
		return store.Row{}, false, err
	}
	if status != fasthttp.StatusOK {
		return store.Row{}, false, fmt.Errorf("platform: read: status %d", status)
	}
	var row store.Row
	if err := decode(body, &row); err != nil {
		return store.Row{}, false, err
	}
	if row.Key != key {
		return store.Row{}, false, fmt.Errorf("%w: got row %q for key %q", store.ErrNoResponse, row.Key, key)
	}
	return row, true, nil
}

// scan returns up to limit rows whose keys have the prefix and follow after.
func (c *client) scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {fmt.Sprint(limit)}}
	status, body, err := c.call(ctx, fasthttp.MethodGet, PathScan+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("platform: scan: status %d", status)
	}
	var reply ScanReply
	if err := decode(body, &reply); err != nil {
		return nil, err
	}
	for _, row := range reply.Rows {
		if !strings.HasPrefix(row.Key, prefix) || row.Key <= after {
			return nil, fmt.Errorf("%w: got row %q for prefix %q after %q", store.ErrNoResponse, row.Key, prefix, after)
		}
	}
	return reply.Rows, nil
}

// transact commits writes atomically and returns the new revision. If a condition fails, it returns a
// store.ConflictError and nothing is written.
func (c *client) transact(ctx context.Context, writes []store.Write) (store.Revision, error) {
	body, err := json.Marshal(TransactRequest{writes})
	if err != nil {
		return 0, fmt.Errorf("platform: %w", err)
	}
	status, answer, err := c.call(ctx, fasthttp.MethodPost, PathTransact, body)
	if err != nil {
		return 0, err
	}
	var reply TransactReply
	if err := decode(answer, &reply); err != nil {
		return 0, err
	}
	switch status {
	case fasthttp.StatusOK:
		if !c.isNew(reply.Revision) {
			return 0, fmt.Errorf("%w: got the response to another transaction, revision %d", store.ErrNoResponse, reply.Revision)
		}
		return reply.Revision, nil
	case fasthttp.StatusConflict:
		return 0, &store.ConflictError{Keys: reply.Conflicts}
	}
	return 0, fmt.Errorf("platform: transact: status %d", status)
}

// putObject writes an object.
func (c *client) putObject(ctx context.Context, name string, body []byte) error {
	status, _, err := c.call(ctx, fasthttp.MethodPut, PathObjects+name, body)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("platform: put object: status %d", status)
	}
	return nil
}

// getObject returns the content of an object, or store.ErrNoObject if it does not exist.
func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	status, body, err := c.call(ctx, fasthttp.MethodGet, PathObjects+name, nil)
	if err != nil {
		return nil, err
	}
	switch status {
	case fasthttp.StatusOK:
		return body, nil
	case fasthttp.StatusNotFound:
		return nil, store.ErrNoObject
	}
	return nil, fmt.Errorf("platform: get object: status %d", status)
}

// listVMs returns the platform's VM list.
func (c *client) listVMs(ctx context.Context) ([]store.VM, error) {
	status, body, err := c.call(ctx, fasthttp.MethodGet, PathVMs, nil)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("platform: list VMs: status %d", status)
	}
	var reply VMsReply
	if err := decode(body, &reply); err != nil {
		return nil, err
	}
	return reply.VMs, nil
}
