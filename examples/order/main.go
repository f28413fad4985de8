// Command order sends an order with an idempotency key through one daemon and repeats it through
// another. A backend server executes the order once, and both callers get the same response.
package main

import (
	"encoding/json"
	"fmt"
	"log"

	"github.com/valyala/fasthttp"

	"bilberrymux/examples/internal/small"
	"bilberrymux/io/front"
)

func main() {
	f, err := small.Start()
	if err != nil {
		log.Fatal(err)
	}
	defer f.Stop()
	entries := f.Entries()

	_, body, err := fasthttp.Get(nil, "http://"+entries[0]+front.LocatePath+"?service=orders")
	if err != nil {
		log.Fatal(err)
	}
	var location front.Location
	if err := json.Unmarshal(body, &location); err != nil {
		log.Fatal(err)
	}
	fmt.Println("connect to:", location.Addresses[0].Address)

	// With the permit of the address as its prefix, the daemon there decides on the idempotency key
	// without a round trip to the store before the order runs.
	key := location.Addresses[0].Permit + ".order-881"
	for _, address := range entries {
		resp, err := post(address, key)
		if err != nil {
			log.Fatal(err)
		}
		fmt.Printf("%s: %d, replayed %q, %s\n", address, resp.StatusCode(), resp.Header.Peek(front.ReplayedHeader), resp.Body())
	}
	_, keys := f.Runs()
	fmt.Println("runs of the key:", keys[key])
}

// post sends the order with an idempotency key to the daemon at address.
func post(address, key string) (*fasthttp.Response, error) {
	req, resp := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(front.KeyHeader, key)
	req.SetBodyString(`{"book":"large print"}`)
	return resp, fasthttp.Do(req, resp)
}
