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
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/settings"
	"pimentorelay.example/pimento/surveyor"
)

const (
	formatText = "text"
	formatJSON = "json"
	// operatorTimeout bounds one request to a process's operator API.
	operatorTimeout = 2 * time.Second
)

// client holds the settings and the store that the subcommands share.
type client struct {
	storeAddress string
	format       string
	token        string
	store        pimento.Store
	out          io.Writer
}

func (c *client) prepare(cmd *cobra.Command) error {
	if err := settings.FromEnvironment(cmd.Flags(), os.LookupEnv); err != nil {
		return err
	}
	if c.format != formatText && c.format != formatJSON {
		return &usageError{cause: fmt.Errorf("--output %q is neither text nor json", c.format)}
	}
	c.token = os.Getenv(settings.Prefix + "TOKEN")
	address, err := netip.ParseAddrPort(c.storeAddress)
	if err != nil {
		return &usageError{cause: fmt.Errorf("--platform %q is not an IP address with a port", c.storeAddress)}
	}
	c.store = &platform.Store{Address: address, HTTP: platform.NewHTTPClient()}
	c.out = cmd.OutOrStdout()
	return nil
}

// printResult writes a value as JSON, or as text by calling writeText.
func (c *client) printResult(value any, writeText func(io.Writer)) error {
	if c.format == formatText {
		writeText(c.out)
		return nil
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// currentConfig returns the accepted configuration and its revision, whose number is
// its version; zero if there is none yet.
func (c *client) currentConfig(ctx context.Context) (pimento.Config, pimento.Revision, error) {
	e, err := c.store.Get(ctx, surveyor.KindConfig, surveyor.ConfigName)
	var notFound *pimento.NotFoundError
	if errors.As(err, &notFound) {
		return pimento.Config{}, pimento.Revision{}, nil
	}
	if err != nil {
		return pimento.Config{}, pimento.Revision{}, err
	}
	var config pimento.Config
	if err := json.Unmarshal(e.Value, &config); err != nil {
		return pimento.Config{}, pimento.Revision{}, fmt.Errorf("decode the accepted configuration: %w", err)
	}
	return config, e.Revision, nil
}

// assignment returns the leader's assignment from the store.
func (c *client) assignment(ctx context.Context) (pimento.Assignment, error) {
	e, err := c.store.Get(ctx, leader.KindAssignment, leader.AssignmentName)
	if err != nil {
		return pimento.Assignment{}, err
	}
	var a pimento.Assignment
	if err := json.Unmarshal(e.Value, &a); err != nil {
		return pimento.Assignment{}, fmt.Errorf("decode the assignment: %w", err)
	}
	return a, nil
}

// processes returns the registered processes. A process that has ended stays
// registered until another one registers for its host.
func (c *client) processes(ctx context.Context) ([]pimento.Process, error) {
	list, err := c.store.List(ctx, leader.KindProcesses, pimento.FreshnessLatest)
	if err != nil {
		return nil, err
	}
	var out []pimento.Process
	for _, e := range list.Entries {
		var p pimento.Process
		if err := json.Unmarshal(e.Value, &p); err != nil {
			return nil, fmt.Errorf("decode the process entry of host %s: %w", e.Name, err)
		}
		out = append(out, p)
	}
	return out, nil
}

// fetchPage gets a page of a process's operator API and decodes its JSON.
func (c *client) fetchPage(ctx context.Context, address netip.AddrPort, path string, into any) error {
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

// fetchFromAll fetches one page from all processes concurrently. Values and
// errors are in the order of processes.
func fetchFromAll[T any](ctx context.Context, c *client, processes []pimento.Process, path string) ([]T, []error) {
	values, errs := make([]T, len(processes)), make([]error, len(processes))
	var wg sync.WaitGroup
	for i, p := range processes {
		wg.Go(func() { errs[i] = c.fetchPage(ctx, p.Operator, path, &values[i]) })
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
