package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/settings"
	"pimentorelay.example/pimento/storer"
)

const (
	outputText = "text"
	outputJSON = "json"
	// operatorTimeout bounds one call to a process.
	operatorTimeout = 2 * time.Second
)

// client is what all subcommands share.
type client struct {
	platformURL string
	output      string
	token       string
	platform    pimento.Platform
	out         io.Writer
}

func (c *client) prepare(cmd *cobra.Command) error {
	if err := settings.FromEnvironment(cmd.Flags(), os.LookupEnv); err != nil {
		return err
	}
	if c.output != outputText && c.output != outputJSON {
		return &usageError{cause: fmt.Errorf("--output %q is neither text nor json", c.output)}
	}
	c.token = os.Getenv(settings.Prefix + "TOKEN")
	c.platform = &storer.Client{Base: c.platformURL, HTTP: &http.Client{}}
	c.out = cmd.OutOrStdout()
	return nil
}

// print writes a value as JSON, or as text by the given function.
func (c *client) print(value any, text func(io.Writer)) error {
	if c.output == outputText {
		text(c.out)
		return nil
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// current returns the accepted configuration and its version, zero if there is
// none yet.
func (c *client) current(ctx context.Context) (pimento.Config, uint64, error) {
	o, err := c.platform.Get(ctx, pimento.ObjectConfig)
	var missing *pimento.NotFoundError
	if errors.As(err, &missing) {
		return pimento.Config{}, 0, nil
	}
	if err != nil {
		return pimento.Config{}, 0, err
	}
	var config pimento.Config
	if err := json.Unmarshal(o.Value, &config); err != nil {
		return pimento.Config{}, 0, fmt.Errorf("the accepted configuration cannot be read: %w", err)
	}
	return config, o.Version, nil
}

// processes returns the processes that the plan lists.
func (c *client) processes(ctx context.Context) (pimento.Plan, error) {
	o, err := c.platform.Get(ctx, pimento.ObjectPlan)
	if err != nil {
		return pimento.Plan{}, err
	}
	var plan pimento.Plan
	if err := json.Unmarshal(o.Value, &plan); err != nil {
		return pimento.Plan{}, fmt.Errorf("the plan cannot be read: %w", err)
	}
	return plan, nil
}

// fetch reads a page of a process's operator API.
func (c *client) fetch(ctx context.Context, address netip.AddrPort, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	s := sling.New().Base("http://" + address.String()).Get(path)
	if c.token != "" {
		s.Set("Authorization", "Bearer "+c.token)
	}
	req, err := s.Request()
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", address, path, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// fromAll fetches one page from every process at the same time. Processes that
// do not answer have an error in their place.
func fromAll[T any](ctx context.Context, c *client, list []pimento.Process, path string) ([]T, []error) {
	values, errs := make([]T, len(list)), make([]error, len(list))
	var wg sync.WaitGroup
	for i, p := range list {
		wg.Go(func() { errs[i] = c.fetch(ctx, p.Operator, path, &values[i]) })
	}
	wg.Wait()
	return values, errs
}

// readSheet parses the sheet in a file; "-" is standard input.
func readSheet(name string) (pimento.Config, error) {
	if name == "-" {
		return parser.Parse(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return pimento.Config{}, err
	}
	defer file.Close()
	return parser.Parse(file)
}
