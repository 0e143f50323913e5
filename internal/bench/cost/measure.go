package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// warmUpRequests is the number of requests that are sent through a forwarder
// before it is measured.
const warmUpRequests = 4_000

// measure returns the processor time per request of the bare forwarder and of
// the chain. The rounds of the two forwarders alternate.
func (p *loadProcess) measure(f flags, s size) (bareTime, chainTime time.Duration, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addrs := addresses(s.endpoints, p.port)
	forwarders := [2]http.Handler{bareForwarder(addrs), serviceChain(ctx, addrs, s.teams)}
	for _, h := range forwarders {
		if _, err := p.load(h, warmUpRequests, s.teams); err != nil {
			return 0, 0, err
		}
	}
	var sums [2]time.Duration
	for range f.rounds {
		for i, h := range forwarders {
			t, err := p.load(h, f.requests, s.teams)
			if err != nil {
				return 0, 0, err
			}
			sums[i] += t
		}
	}
	rounds := time.Duration(f.rounds)
	return sums[0] / rounds, sums[1] / rounds, nil
}

// load sends n requests through h and returns the processor time per request.
func (p *loadProcess) load(h http.Handler, n, teams int) (time.Duration, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	defer srv.Close()
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	url := fmt.Sprintf("http://127.0.0.1:%s%s?n=%d&teams=%d&url=http://%s/v1/services/s/do", p.port, loadPath, n, teams, l.Addr())
	resp, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	failed, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if string(failed) != "0" {
		return 0, fmt.Errorf("%s requests failed", failed)
	}
	after, err := processorTime()
	return (after - before) / time.Duration(n), err
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// addresses returns n loopback addresses that reach the same listener.
func addresses(n int, port string) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("127.1.%d.%d:%s", i/250, i%250+1, port)
	}
	return list
}
