package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/settings"
)

// Env is the environment that a command line runs in.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	// NewManaged returns a client of the platform that is named in the settings
	// of a managed deployment.
	NewManaged func(s settings.Settings) infra.Managed
}

const appHelp = `Operates a cumincove system: changes its configuration and shows its state.

  cumincovectl apply -f deployment.jsonc --dry-run   show what would change
  cumincovectl apply -f deployment.jsonc --wait 10s  apply the change
  cumincovectl get endpoints -l zone=a,tier=cheap    select endpoints by label
  cumincovectl status                                show members, leases, endpoints
  cumincovectl key create coach-1 --team celeste     create a key; it is shown only once
  cumincovectl explain 2000                          explain a result code

` + exitHelp

// options are the flags that all commands share.
type options struct {
	servers  []string
	operator string
	tokenEnv string
	timeout  time.Duration
	output   string
	tls      settings.TLSFiles
}

// command is a command whose flags are bound to its fields.
type command interface {
	run(ctx context.Context, s *session) error
}

// session holds the state of one run of the tool.
type session struct {
	Env
	servers []string
	client  api.Client
	timeout time.Duration
	out     printer
}

// Run executes the command line args and returns the exit code.
func Run(args []string, env Env) int {
	app := kingpin.New("cumincovectl", appHelp)
	app.UsageWriter(env.Stdout)
	app.ErrorWriter(env.Stderr)
	exit, exited := ExitOK, false
	app.Terminate(func(code int) { exit, exited = code, true })
	app.HelpFlag.Short('h')
	o := sharedFlags(app, env)
	commands := register(app)

	name, err := app.Parse(args)
	if exited {
		return exit
	}
	if err != nil {
		return report(env, fmt.Errorf("%w: %w; try --help", errUsage, err))
	}
	hc, err := o.httpClient(env.Stderr)
	if err != nil {
		return report(env, fmt.Errorf("%w: %w", errUsage, err))
	}
	s := &session{
		Env:     env,
		out:     printer{w: env.Stdout, json: o.output == "json"},
		servers: o.servers,
		timeout: o.timeout,
		client: api.Client{
			Operator: o.operator,
			Token:    env.Getenv(o.tokenEnv),
			HTTP:     hc,
		},
	}
	return report(env, commands[name].run(context.Background(), s))
}

// report prints err, if any, and returns its exit code.
func report(env Env, err error) int {
	if err != nil {
		fmt.Fprintln(env.Stderr, "cumincovectl:", err)
	}
	var remote *api.RemoteError
	if errors.As(err, &remote) && remote.RetryAfter() > 0 {
		fmt.Fprintln(env.Stderr, "Retry after", remote.RetryAfter())
	}
	return exitCode(err)
}

func sharedFlags(app *kingpin.Application, env Env) *options {
	o := &options{}
	app.Flag("server", "URL of an instance's operators' address; repeatable. The instances are tried in order until one can be reached.").
		Short('s').Default("http://127.0.0.1:7003").Envar("CUMINCOVE_SERVER").StringsVar(&o.servers)
	app.Flag("operator", "Operator's name in the audit trail.").
		Default(env.Getenv("USER")).Envar("CUMINCOVE_OPERATOR").StringVar(&o.operator)
	app.Flag("token-env", "Environment variable that contains the operators' token.").
		Default("CUMINCOVE_TOKEN").StringVar(&o.tokenEnv)
	app.Flag("timeout", "Time limit for one call.").Default("10s").DurationVar(&o.timeout)
	app.Flag("cert-file", "Client certificate for https servers.").Envar("CUMINCOVE_CERT_FILE").StringVar(&o.tls.CertFile)
	app.Flag("key-file", "Private key of the client certificate.").Envar("CUMINCOVE_KEY_FILE").StringVar(&o.tls.KeyFile)
	app.Flag("ca-file", "Certificates of the authorities that sign the servers' certificates.").Envar("CUMINCOVE_CA_FILE").StringVar(&o.tls.CAFile)
	app.Flag("output", "Output format: table or json.").Short('o').Default("table").EnumVar(&o.output, "table", "json")
	return o
}

func (o *options) httpClient(log io.Writer) (*http.Client, error) {
	source, err := tlsfile.Load(o.tls, slog.New(slog.NewTextHandler(log, nil)))
	if source == nil || err != nil {
		return &http.Client{}, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: source.ClientConfig()}}, nil
}

// register adds all commands to app and returns them by full name.
func register(app *kingpin.Application) map[string]command {
	commands := map[string]command{
		"apply":   newApply(app),
		"get":     newGet(app),
		"delete":  newRemove(app),
		"status":  newStatus(app),
		"audit":   newAudit(app),
		"drain":   newDrain(app),
		"usage":   newUsage(app),
		"steps":   newSteps(app),
		"explain": newExplain(app),
		"trace":   newTrace(app),
		"rows":    newRows(app),
	}
	key := app.Command("key", "Creates and withdraws keys.")
	commands["key create"] = newKeyCreate(key)
	commands["key withdraw"] = newKeyWithdraw(key)
	return commands
}
