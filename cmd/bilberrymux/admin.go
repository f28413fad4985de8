package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/settings"
	"bilberrymux/io/admin"
	"bilberrymux/io/httpread"
)

// adminOptions holds the flags of every command that calls the administration API of a daemon.
type adminOptions struct {
	Admin   string `short:"a" long:"admin" description:"administration address of a daemon" required:"true"`
	KeyFile string `short:"k" long:"key-file" description:"file with the operators' key" required:"true"`
	JSON    bool   `long:"json" description:"print JSON"`
}

// adminTimeout limits the duration of one request to a daemon.
const adminTimeout = 25 * time.Second

// call sends a request with the operators' key to the administration address of the daemon. If in
// is not nil, it is sent as a JSON body. The response body is decoded into reply, or ignored if
// reply is nil. Errors carry the exit code of the command: exitUnknown if no response arrived,
// because the daemon may have carried out the request; otherwise see responseError.
func (o *adminOptions) call(method, path string, in, reply any) error {
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
			return fmt.Errorf("encode request: %w", err)
		}
		req.SetBody(body)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, ConfigureClient: httpread.Configure}
	if err := client.DoTimeout(req, resp, adminTimeout); err != nil {
		return &exitError{exitUnknown, fmt.Errorf("%s: %w", o.Admin, err)}
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return responseError(resp)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return fmt.Errorf("%s: decode response: %w", o.Admin, err)
	}
	return nil
}

// responseError converts a response with an error status to an error with the matching exit code.
// The message lists each field that the daemon rejected. Statuses without an exit code of their own
// give exitFailed.
func responseError(resp *fasthttp.Response) error {
	var body admin.ErrorResponse
	if err := json.Unmarshal(resp.Body(), &body); err != nil {
		body.Error = fmt.Sprintf("status %d", resp.StatusCode())
	}
	err := fmt.Errorf("%s", body.Error)
	if len(body.Problems) > 0 {
		lines := "refused:"
		for _, problem := range body.Problems {
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

// printJSON writes v to standard output as indented JSON, for use by scripts.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
