package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cumincove/cumincove/engine"
)

const (
	loadPath      = "/control/load"
	callerCount   = 32
	requestBytes  = 256
	responseBytes = 1 << 10
)

// loadProcess is the process that contains the callers and the endpoints.
type loadProcess struct {
	cmd   *exec.Cmd
	stdin io.Closer
	port  string
}

func startLoadProcess() (*loadProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "--other-side")
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &loadProcess{cmd: cmd, stdin: stdin}
	if _, err := fmt.Fscan(stdout, &p.port); err != nil {
		p.stop()
		return nil, fmt.Errorf("read the load process's port: %w", err)
	}
	return p, nil
}

// stop ends the process by closing its standard input.
func (p *loadProcess) stop() {
	p.stdin.Close()
	_ = p.cmd.Wait()
}

// serveLoadProcess runs this process as the load process. It prints the port that
// it listens on. A request to loadPath makes it send requests; it handles every
// other path as an endpoint. It returns when its standard input is closed.
func serveLoadProcess(flags) error {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr().(*net.TCPAddr).Port)
	mux := http.NewServeMux()
	mux.HandleFunc(loadPath, sendLoad)
	mux.HandleFunc("/", serveEndpoint)
	go http.Serve(l, mux)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
	_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
}

// sendLoad sends n requests to url with the keys of the teams. The response
// contains the number of requests that failed.
func sendLoad(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.FormValue("n"))
	teams, _ := strconv.Atoi(r.FormValue("teams"))
	url := r.FormValue("url")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}
	defer client.CloseIdleConnections()
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	for range callerCount {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				if err := sendRequest(client, url, teamKey(int(i)%teams)); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	fmt.Fprint(w, failed.Load())
}

func sendRequest(client *http.Client, url, key string) error {
	req, err := http.NewRequest("POST", url, strings.NewReader(strings.Repeat("y", requestBytes)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if len(body) != responseBytes {
		return fmt.Errorf("response has %d bytes, want %d", len(body), responseBytes)
	}
	return nil
}

func teamKey(i int) string { return fmt.Sprintf("key-of-team-%d", i) }
