// Command standins runs the stand-ins for platform, model engines and plain
// services in one process, for tests and first steps with separate processes.
//
// It prints one line for each address and then "ready".
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

type standins struct {
	engines  []string // addresses
	services []string
	engine   fakeengine.Options
	listen   string
	platform fakeplatform.Options
}

func main() {
	app := kingpin.New("standins", "Stand-ins for the platform and its endpoints, in memory.")
	var s standins
	e, p := &s.engine, &s.platform
	app.Flag("platform", "Address of the platform.").Default("127.0.0.1:0").StringVar(&s.listen)
	app.Flag("engine", "Address of a model engine; repeatable.").StringsVar(&s.engines)
	app.Flag("service", "Address of a plain service; repeatable.").StringsVar(&s.services)
	list := app.Flag("instances", "List of instances to begin with, in JSON.").Default("[]").String()
	app.Flag("check-epochs", "Refuse orders with an old fencing number.").BoolVar(&p.CheckEpochs)
	app.Flag("start-delay", "Time that an ordered endpoint takes to start.").Default("1s").DurationVar(&p.StartDelay)
	app.Flag("stop-notice", "Time between the order to stop an endpoint and its end.").Default("2s").DurationVar(&p.StopNotice)
	app.Flag("token-delay", "Time that an engine takes for a token.").Default("5ms").DurationVar(&e.TokenDelay)
	app.Flag("load-time", "Time that a weight swap takes.").Default("500ms").DurationVar(&e.LoadTime)
	app.Flag("weight-version", "Weight version that engines begin with.").Default("1").Uint64Var(&e.Version)
	app.Flag("mark-version", "Put the weight version into each token.").BoolVar(&e.MarkVersion)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(json.Unmarshal([]byte(*list), &p.Instances), "instances")
	app.FatalIfError(s.run(), "")
}

func (s standins) run() error {
	s.engine.ChecksEpoch = s.platform.CheckEpochs
	for i, addr := range s.engines {
		srv, err := s.startEngine(addr)
		if err != nil {
			return err
		}
		fmt.Printf("engine %d %s\n", i, srv.Addr())
	}
	for i, addr := range s.services {
		service := fakeendpoint.NewService(0)
		srv, err := fakeendpoint.Serve(addr, service.Endpoint, service.Handler())
		if err != nil {
			return err
		}
		fmt.Printf("service %d %s\n", i, srv.Addr())
	}
	s.platform.Launch = s.launch
	ln, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	fmt.Printf("platform 0 %s\nready\n", ln.Addr())
	return http.Serve(ln, fakeplatform.New(s.platform).Handler())
}

func (s standins) startEngine(addr string) (*fakeendpoint.Server, error) {
	e := fakeengine.New(s.engine)
	return fakeendpoint.Serve(addr, e.Endpoint, e.Handler())
}

// launch starts an endpoint that was ordered; all of them are engines.
func (s standins) launch(infra.RunningEndpoint) (string, func(), error) {
	srv, err := s.startEngine("127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	return srv.Addr(), srv.Close, nil
}
