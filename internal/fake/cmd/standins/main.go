// Command standins runs the fake platform, fake model engines and fake plain
// services in one process. It is for tests that run separate processes and for
// trying out the system.
//
// It prints a line for each address, followed by a line "ready".
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

// fakes holds the configuration of the fakes to run.
type fakes struct {
	engines  []string // addresses
	services []string // addresses
	engine   fakeengine.Options
	listen   string
	platform fakeplatform.Options
}

func main() {
	app := kingpin.New("standins", "Runs in-memory fakes of the platform and of its endpoints.")
	var f fakes
	e, p := &f.engine, &f.platform
	app.Flag("platform", "Address of the platform.").Default("127.0.0.1:0").StringVar(&f.listen)
	app.Flag("engine", "Address of a model engine; repeatable.").StringsVar(&f.engines)
	app.Flag("service", "Address of a plain service; repeatable.").StringsVar(&f.services)
	list := app.Flag("instances", "Initial list of instances, in JSON.").Default("[]").String()
	app.Flag("check-epochs", "Refuse orders with an old epoch.").BoolVar(&p.CheckEpochs)
	app.Flag("start-delay", "Time that an ordered endpoint takes to start.").Default("1s").DurationVar(&p.StartDelay)
	app.Flag("stop-notice", "Time from the order to stop an endpoint until it stops.").Default("2s").DurationVar(&p.StopNotice)
	app.Flag("token-delay", "Time that an engine takes to generate a token.").Default("5ms").DurationVar(&e.TokenDelay)
	app.Flag("load-time", "Time that a weight swap takes.").Default("500ms").DurationVar(&e.LoadTime)
	app.Flag("weight-version", "Initial weight version of the engines.").Default("1").Uint64Var(&e.Version)
	app.Flag("mark-version", "Add the weight version to each token.").BoolVar(&e.MarkVersion)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(json.Unmarshal([]byte(*list), &p.Instances), "instances")
	app.FatalIfError(f.run(), "")
}

func (f fakes) run() error {
	f.engine.ChecksEpoch = f.platform.CheckEpochs
	for i, addr := range f.engines {
		srv, err := f.startEngine(addr)
		if err != nil {
			return err
		}
		fmt.Printf("engine %d %s\n", i, srv.Addr())
	}
	for i, addr := range f.services {
		service := fakeendpoint.NewService(0)
		srv, err := fakeendpoint.Serve(addr, service.Endpoint, service.Handler())
		if err != nil {
			return err
		}
		fmt.Printf("service %d %s\n", i, srv.Addr())
	}
	f.platform.Launch = f.launch
	ln, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	fmt.Printf("platform 0 %s\nready\n", ln.Addr())
	return http.Serve(ln, fakeplatform.New(f.platform).Handler())
}

func (f fakes) startEngine(addr string) (*fakeendpoint.Server, error) {
	e := fakeengine.New(f.engine)
	return fakeendpoint.Serve(addr, e.Endpoint, e.Handler())
}

// launch starts an ordered endpoint. Every ordered endpoint is an engine.
func (f fakes) launch(infra.RunningEndpoint) (string, func(), error) {
	srv, err := f.startEngine("127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	return srv.Addr(), srv.Close, nil
}
