package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/settings"
	"bilberrymux/io/admin"
)

// adminOptions are the flags of every command that talks to a daemon.
type adminOptions struct {
	Admin   string `short:"a" long:"admin" description:"administration address of a daemon" required:"true"`
	KeyFile string `short:"k" long:"key-file" description:"file with the operators' key" required:"true"`
	JSON    bool   `long:"json" description:"print JSON"`
}

// adminTimeout bounds one call to a daemon.
const adminTimeout = 25 * time.Second

// call asks the daemon and decodes its answer. A nil into prints nothing.
func (o *adminOptions) call(method, path string, in, into any) error {
	key, err := settings.ReadKey(o.KeyFile)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + o.Admin + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		req.SetBody(body)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, adminTimeout); err != nil {
		return &exitError{exitUnknown, fmt.Errorf("%s: %w", o.Admin, err)}
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return refused(resp)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("%s: unreadable answer: %w", o.Admin, err)
	}
	return nil
}

// refused turns an error answer into an error with its exit code.
func refused(resp *fasthttp.Response) error {
	var p admin.Problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil {
		p.Error = fmt.Sprintf("status %d", resp.StatusCode())
	}
	err := fmt.Errorf("%s", p.Error)
	if len(p.Problems) > 0 {
		lines := "refused:"
		for _, problem := range p.Problems {
			lines += fmt.Sprintf("\n  %s: %s", problem.Path, problem.Text)
		}
		err = fmt.Errorf("%s", lines)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusConflict:
		return &exitError{exitStale, err}
	case fasthttp.StatusGatewayTimeout:
		return &exitError{exitUnknown, err}
	case fasthttp.StatusUnprocessableEntity, fasthttp.StatusBadRequest:
		return &exitError{exitUsage, err}
	}
	return err
}

// printJSON writes a value for programs.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
