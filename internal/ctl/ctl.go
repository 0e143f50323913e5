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

// Env is what the command line gets from the operating system.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	// Managed reaches the platform that the settings of a managed deployment
	// name.
	Managed func(s settings.Settings) infra.Managed
}

const appHelp = `Operates a cumincove system: states what is wanted and shows what is.

  cumincovectl apply -f deployment.jsonc --dry-run   what would change
  cumincovectl apply -f deployment.jsonc --wait 10s  change it
  cumincovectl get endpoints -l zone=a,tier=cheap    select by label
  cumincovectl status                                members, leases, endpoints
  cumincovectl key create coach-1 --team celeste     the key is shown this once
  cumincovectl explain 2000                          what a result code means

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

// command is one command with its flags bound.
type command interface {
	run(ctx context.Context, s *session) error
}

// session is one run of the tool.
type session struct {
	Env
	servers []string
	client  api.Client
	timeout time.Duration
	out     printer
}

// Run executes a command line and returns the exit code.
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

func report(env Env, err error) int {
	if err != nil {
		fmt.Fprintln(env.Stderr, "cumincovectl:", err)
	}
	var remote *api.RemoteError
	if errors.As(err, &remote) && remote.RetryAfter() > 0 {
		fmt.Fprintln(env.Stderr, "Try again in", remote.RetryAfter())
	}
	return exitCode(err)
}

func sharedFlags(app *kingpin.Application, env Env) *options {
	o := &options{}
	app.Flag("server", "Operators' address of an instance, as URL; repeat it to name others to try when one can't be reached.").
		Short('s').Default("http://127.0.0.1:7003").Envar("CUMINCOVE_SERVER").StringsVar(&o.servers)
	app.Flag("operator", "Name for the audit trail.").
		Default(env.Getenv("USER")).Envar("CUMINCOVE_OPERATOR").StringVar(&o.operator)
	app.Flag("token-env", "Environment variable that holds the operators' token.").
		Default("CUMINCOVE_TOKEN").StringVar(&o.tokenEnv)
	app.Flag("timeout", "Time for one call.").Default("10s").DurationVar(&o.timeout)
	app.Flag("cert-file", "Certificate to show to an https server.").Envar("CUMINCOVE_CERT_FILE").StringVar(&o.tls.CertFile)
	app.Flag("key-file", "The certificate's private key.").Envar("CUMINCOVE_KEY_FILE").StringVar(&o.tls.KeyFile)
	app.Flag("ca-file", "Authorities that sign the servers' certificates.").Envar("CUMINCOVE_CA_FILE").StringVar(&o.tls.CAFile)
	app.Flag("output", "Format: table or json.").Short('o').Default("table").EnumVar(&o.output, "table", "json")
	return o
}

func (o *options) httpClient(log io.Writer) (*http.Client, error) {
	source, err := tlsfile.Load(o.tls, slog.New(slog.NewTextHandler(log, nil)))
	if source == nil || err != nil {
		return &http.Client{}, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: source.Client()}}, nil
}

// register adds the commands and returns them by full name.
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
	key := app.Command("key", "Grants and withdraws keys.")
	commands["key create"] = newKeyCreate(key)
	commands["key withdraw"] = newKeyWithdraw(key)
	return commands
}
