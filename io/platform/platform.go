// Package platform reaches the platform's table service, object store and VM
// list over HTTP. docs/PLATFORM.md describes the protocol.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/store"
)

// Paths of the protocol.
const (
	PathRow      = "/v1/table/row"
	PathScan     = "/v1/table/scan"
	PathTransact = "/v1/table/transact"
	PathObjects  = "/v1/objects/"
	PathVMs      = "/v1/vms"
)

// ScanReply is the body of a scan's answer.
type ScanReply struct {
	Rows []store.Row `json:"rows"`
}

// TransactRequest is the body of a transaction.
type TransactRequest struct {
	Writes []store.Write `json:"writes"`
}

// TransactReply is the body of a transaction's answer: the revision of a
// committed one, or the keys whose conditions failed.
type TransactReply struct {
	Revision  store.Revision `json:"revision,omitempty"`
	Conflicts []string       `json:"conflicts,omitempty"`
}

// VMsReply is the body of the VM list.
type VMsReply struct {
	VMs []store.VM `json:"vms"`
}

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 3 * time.Second

// client calls the platform at one address.
type client struct {
	base string
	http *fasthttp.Client
}

// New returns the platform at an address, reached by dial.
func New(address string, dial func(ctx context.Context, address string) (net.Conn, error)) *store.Store {
	c := &client{
		base: "http://" + address,
		http: &fasthttp.Client{
			// A write whose reply is lost must not be repeated unseen.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
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

// call makes one request and returns the status and a copy of the body.
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

// decode reads a reply. What can't be read tells nothing about the effect.
func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: bad reply: %w", store.ErrNoResponse, err)
	}
	return nil
}

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
		return store.Row{}, false, fmt.Errorf("%w: row %q answered for %q", store.ErrNoResponse, row.Key, key)
	}
	return row, true, nil
}

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
	return reply.Rows, nil
}

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
		return reply.Revision, nil
	case fasthttp.StatusConflict:
		return 0, &store.ConflictError{Keys: reply.Conflicts}
	}
	return 0, fmt.Errorf("platform: transact: status %d", status)
}

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
