package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"

	"opalhook/internal/agent"
)

// defaultAgent is the address at which the agent of this machine listens by default.
const defaultAgent = "127.0.0.1:8510"

// agentCommand returns the command that runs the agent of a machine.
func agentCommand(s *globalFlags) *cobra.Command {
	cfg := agent.Config{Rules: agent.DefaultRules()}
	var metrics string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Run the list service's agent for the edge nodes on this machine",
		Long: "Watch the list of app servers at a replica of the list service, and serve it to the edge nodes on this machine over the\n" +
			"platform's discovery protocol, until stopped by a signal. While the service is unreachable, nodes keep the last list\n" +
			"that they received. A list that is much shorter than the previous one is accepted only after a second replica confirms it\n" +
			"or a timeout has passed.",
		Example: "  opalhook agent --replicas 127.0.0.1:8500,127.0.0.2:8500,127.0.0.3:8500\n  opalhook agent status",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg.Log, cfg.Seed = s.logger(), uint64(time.Now().UnixNano())
			return runAgent(c, cfg, metrics)
		},
	}
	c.Flags().StringSliceVar(&cfg.Replicas, "replicas", []string{defaultRegistry}, "HTTP addresses of the list service's replicas")
	c.Flags().StringVar(&cfg.Listen, "listen", defaultAgent, "address to listen on for edge nodes")
	c.Flags().StringVar(&cfg.Name, "name", "", "name of this agent, which determines the replica that it prefers (default: host name and listen address)")
	c.Flags().StringVar(&metrics, "metrics", "", "address to serve Prometheus metrics on (default: metrics are not served)")
	c.AddCommand(agentStatus(s))
	return c
}

// runAgent runs an agent until the command's context is cancelled. An agent without a name is named after the
// host and the address that it listens on. Metrics are served if an address for them is given.
func runAgent(c *cobra.Command, cfg agent.Config, metrics string) error {
	if cfg.Name == "" {
		host, err := os.Hostname()
		if err != nil {
			return fmt.Errorf("--name: not given, and the host name cannot be read: %w", err)
		}
		cfg.Name = host + " " + cfg.Listen
	}
	a, err := agent.Start(c.Context(), cfg)
	if err != nil {
		return err
	}
	return errors.Join(serveAgent(c, a, metrics), a.Close())
}

// serveAgent prints the address at which the agent listens, and returns once the command's context is
// cancelled.
func serveAgent(c *cobra.Command, a *agent.Agent, metrics string) error {
	if _, err := fmt.Fprintf(c.OutOrStdout(), "discovery for edge nodes at %s\n", a.Addr()); err != nil {
		return err
	}
	if metrics != "" {
		return serveMetrics(c.Context(), metrics, agentMetrics(a))
	}
	<-c.Context().Done()
	return nil
}

func agentStatus(s *globalFlags) *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show the generation, size and age of an agent's list",
		Example: "  opalhook agent status --at 127.0.0.1:8510 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := agent.FetchStatus(c.Context(), addr)
			if err != nil {
				return fmt.Errorf("--at: %w", err)
			}
			if s.json() {
				return writeJSON(c.OutOrStdout(), status)
			}
			return writeAgentStatus(c.OutOrStdout(), &status)
		},
	}
	c.Flags().StringVar(&addr, "at", defaultAgent, "address of the agent")
	return c
}

// writeAgentStatus writes an agent's status as a line of text.
func writeAgentStatus(out io.Writer, status *agent.Status) error {
	state := "watching a replica"
	if !status.Watching {
		state = "not watching any replica"
	}
	if status.Suspecting {
		state += ", holding back a much shorter list (self-preservation)"
	}
	_, err := fmt.Fprintf(out, "%s; generation %d, %d app servers, last message %.1f s ago; %d watches by edge nodes, %d calls to replicas\n",
		state, status.Generation, status.Endpoints, status.AgeSeconds, status.NodeWatches, status.ReplicaCalls)
	return err
}

// agentGauges are the agent's metrics. Dashboards depend on their names.
var agentGauges = []struct {
	name, help string
	value      func(agent.Status) float64
}{
	{"generation", "Generation of the endpoint list that edge nodes are told.", func(s agent.Status) float64 { return float64(s.Generation) }},
	{"servers", "App servers in the endpoint list.", func(s agent.Status) float64 { return float64(s.Endpoints) }},
	{"list_age_seconds", "Time since the last message of a replica.", func(s agent.Status) float64 { return s.AgeSeconds }},
	{"watching", "1 while a watch of a replica is open.", func(s agent.Status) float64 { return boolToFloat(s.Watching) }},
	{"doubting", "1 while a shrunken list is held back by self-preservation.", func(s agent.Status) float64 { return boolToFloat(s.Suspecting) }},
	{"service_calls_total", "Calls of replicas of the list service.", func(s agent.Status) float64 { return float64(s.ReplicaCalls) }},
	{"node_watches", "Watches that edge nodes have open.", func(s agent.Status) float64 { return float64(s.NodeWatches) }},
}

// agentMetrics returns a registry with an agent's metrics.
func agentMetrics(a *agent.Agent) *prometheus.Registry {
	r := prometheus.NewRegistry()
	for _, g := range agentGauges {
		opts := prometheus.GaugeOpts{Name: "opalhook_agent_" + g.name, Help: g.help}
		r.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return g.value(a.Status()) }))
	}
	return r
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveMetrics serves metrics to Prometheus until ctx is cancelled.
func serveMetrics(ctx context.Context, addr string, r *prometheus.Registry) error {
	srv := &http.Server{Addr: addr, Handler: promhttp.HandlerFor(r, promhttp.HandlerOpts{}), ReadHeaderTimeout: 3 * time.Second}
	defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
