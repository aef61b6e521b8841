package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
func agentCommand(s *settings) *cobra.Command {
	cfg := agent.Config{Rules: agent.DefaultRules()}
	var metrics string
	c := &cobra.Command{
		Use:   "agent",
		Short: "Follow the list service for the edge nodes on this machine, until a signal",
		Long: "Follow the replicas of the list service and serve the platform's discovery protocol to the edge nodes on this machine.\n" +
			"While the service is away the nodes keep the last list; a list that has shrunk much is taken once a second replica agrees.",
		Example: "  opalhook agent --replicas 127.0.0.1:8500,127.0.0.2:8500,127.0.0.3:8500\n  opalhook agent status",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if cfg.Name == "" {
				host, err := os.Hostname()
				if err != nil {
					return fmt.Errorf("--name: the machine has none: %w", err)
				}
				cfg.Name = host + " " + cfg.Listen
			}
			cfg.Log, cfg.Seed = s.logger(), uint64(time.Now().UnixNano())
			a, err := agent.Start(c.Context(), cfg)
			if err != nil {
				return err
			}
			return errors.Join(runAgent(c, a, metrics), a.Close())
		},
	}
	c.Flags().StringSliceVar(&cfg.Replicas, "replicas", []string{defaultRegistry}, "HTTP addresses of the list service's replicas")
	c.Flags().StringVar(&cfg.Listen, "listen", defaultAgent, "address for edge nodes")
	c.Flags().StringVar(&cfg.Name, "name", "", "of this machine, by which replicas are ranked (default: its host name and address)")
	c.Flags().StringVar(&metrics, "metrics", "", "address for Prometheus; none: nowhere")
	c.AddCommand(agentStatus(s))
	return c
}

// runAgent says where the agent listens and serves its metrics, if an address is given, until the command ends.
func runAgent(c *cobra.Command, a *agent.Agent, metrics string) error {
	if _, err := fmt.Fprintf(c.OutOrStdout(), "discovery for edge nodes at %s\n", a.Addr()); err != nil {
		return err
	}
	if metrics != "" {
		return serveMetrics(c.Context(), metrics, agentMetrics(a))
	}
	<-c.Context().Done()
	return nil
}

func agentStatus(s *settings) *cobra.Command {
	var at string
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show what an agent holds and how old that is",
		Example: "  opalhook agent status --at 127.0.0.1:8510 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/agent/status", nil)
			if err != nil {
				return fmt.Errorf("--at: %w", err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return fmt.Errorf("no agent answers: %w", err)
			}
			defer func() { _ = resp.Body.Close() }()
			var st agent.Status
			if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
				return fmt.Errorf("%s is no agent: %w", at, err)
			}
			if s.json() {
				return writeJSON(c.OutOrStdout(), st)
			}
			state := "follows a replica"
			if !st.Watching {
				state = "follows none"
			}
			if st.Doubting {
				state += ", doubts a list that has shrunk"
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s; generation %d, %d servers, heard %.1f s ago; %d nodes watch, %d calls so far\n",
				state, st.Generation, st.Servers, st.Age, st.Watches, st.Calls)
			return err
		},
	}
	c.Flags().StringVar(&at, "at", defaultAgent, "address of the agent")
	return c
}

// agentMetrics are the agent's for Prometheus.
func agentMetrics(a *agent.Agent) *prometheus.Registry {
	r := prometheus.NewRegistry()
	for name, m := range map[string]struct {
		help string
		f    func(agent.Status) float64
	}{
		"generation":          {"Version of the list that nodes are told.", func(s agent.Status) float64 { return float64(s.Generation) }},
		"servers":             {"App servers in it.", func(s agent.Status) float64 { return float64(s.Servers) }},
		"list_age_seconds":    {"Since a replica was last heard.", func(s agent.Status) float64 { return s.Age }},
		"watching":            {"1 while a replica's watch is open.", func(s agent.Status) float64 { return b2f(s.Watching) }},
		"doubting":            {"1 while a list is not taken at face value.", func(s agent.Status) float64 { return b2f(s.Doubting) }},
		"service_calls_total": {"Calls of replicas.", func(s agent.Status) float64 { return float64(s.Calls) }},
		"node_watches":        {"Watches of nodes.", func(s agent.Status) float64 { return float64(s.Watches) }},
	} {
		opts := prometheus.GaugeOpts{Name: "opalhook_agent_" + name, Help: m.help}
		r.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return m.f(a.Status()) }))
	}
	return r
}

func b2f(b bool) float64 {
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
