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

// defaultAgent is where the agent of this machine listens.
const defaultAgent = "127.0.0.1:8510"

// agentCommand runs the agent on a machine.
func agentCommand(s *sharedFlags) *cobra.Command {
	cfg := agent.Config{Rules: agent.DefaultRules()}
	var metrics string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Follow the list service for the edge nodes on this machine, until a signal",
		Long: "Follow the replicas of the list service and serve the platform's discovery protocol to the edge nodes on this machine.\n" +
			"While the service is unreachable the nodes keep the last list; a list that has shrunk much is accepted once a second replica agrees.",
		Example: "  opalhook agent --replicas 127.0.0.1:8500,127.0.0.2:8500,127.0.0.3:8500\n  opalhook agent status",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg.Log, cfg.Seed = s.logger(), uint64(time.Now().UnixNano())
			return runAgent(c, cfg, metrics)
		},
	}
	c.Flags().StringSliceVar(&cfg.Replicas, "replicas", []string{defaultRegistry}, "HTTP addresses of the list service's replicas")
	c.Flags().StringVar(&cfg.Listen, "listen", defaultAgent, "address for edge nodes")
	c.Flags().StringVar(&cfg.Name, "name", "", "name of this machine, which decides the replica that it prefers (default: its host name and address)")
	c.Flags().StringVar(&metrics, "metrics", "", "address at which Prometheus finds the agent's metrics (default: none)")
	c.AddCommand(agentStatus(s))
	return c
}

// runAgent runs an agent, named after the machine unless it has a name, and its metrics, if an address is given, until
// the command ends.
func runAgent(c *cobra.Command, cfg agent.Config, metrics string) error {
	if cfg.Name == "" {
		host, err := os.Hostname()
		if err != nil {
			return fmt.Errorf("--name: the machine has none: %w", err)
		}
		cfg.Name = host + " " + cfg.Listen
	}
	a, err := agent.Start(c.Context(), cfg)
	if err != nil {
		return err
	}
	return errors.Join(serveAgent(c, a, metrics), a.Close())
}

// serveAgent says where the agent listens and waits for the command's end.
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

func agentStatus(s *sharedFlags) *cobra.Command {
	var at string
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show which list an agent has and how old it is",
		Example: "  opalhook agent status --at 127.0.0.1:8510 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := agent.FetchStatus(c.Context(), at)
			if err != nil {
				return fmt.Errorf("--at: %w", err)
			}
			if s.json() {
				return writeJSON(c.OutOrStdout(), status)
			}
			return writeAgentStatus(c.OutOrStdout(), &status)
		},
	}
	c.Flags().StringVar(&at, "at", defaultAgent, "address of the agent")
	return c
}

// writeAgentStatus writes what an agent has and how old that is.
func writeAgentStatus(out io.Writer, status *agent.Status) error {
	state := "watches a replica"
	if !status.Watching {
		state = "watches no replica"
	}
	if status.Suspecting {
		state += ", keeps its list against a much shorter one (self-preservation)"
	}
	_, err := fmt.Fprintf(out, "%s; generation %d, %d app servers, last message %.1f s ago; %d watches by edge nodes, %d calls of replicas so far\n",
		state, status.Generation, status.Endpoints, status.AgeSeconds, status.NodeWatches, status.ReplicaCalls)
	return err
}

// agentGauges are the agent's metrics. Names are fixed: dashboards read them.
var agentGauges = []struct {
	name, help string
	value      func(agent.Status) float64
}{
	{"generation", "Generation of the endpoint list that edge nodes are told.", func(s agent.Status) float64 { return float64(s.Generation) }},
	{"servers", "App servers in the endpoint list.", func(s agent.Status) float64 { return float64(s.Endpoints) }},
	{"list_age_seconds", "Time since the last message of a replica.", func(s agent.Status) float64 { return s.AgeSeconds }},
	{"watching", "1 while a watch of a replica is open.", func(s agent.Status) float64 { return zeroOrOne(s.Watching) }},
	{"doubting", "1 while a shrunken list is held back by self-preservation.", func(s agent.Status) float64 { return zeroOrOne(s.Suspecting) }},
	{"service_calls_total", "Calls of replicas of the list service.", func(s agent.Status) float64 { return float64(s.ReplicaCalls) }},
	{"node_watches", "Watches that edge nodes have open.", func(s agent.Status) float64 { return float64(s.NodeWatches) }},
}

// agentMetrics are an agent's metrics for Prometheus.
func agentMetrics(a *agent.Agent) *prometheus.Registry {
	r := prometheus.NewRegistry()
	for _, g := range agentGauges {
		opts := prometheus.GaugeOpts{Name: "opalhook_agent_" + g.name, Help: g.help}
		r.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return g.value(a.Status()) }))
	}
	return r
}

func zeroOrOne(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveMetrics serves Prometheus until ctx ends.
func serveMetrics(ctx context.Context, addr string, r *prometheus.Registry) error {
	srv := &http.Server{Addr: addr, Handler: promhttp.HandlerFor(r, promhttp.HandlerOpts{}), ReadHeaderTimeout: 3 * time.Second}
	defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
