package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"opalhook/internal/registry"
)

// defaultRegistry is where a service on this machine listens.
const (
	defaultRegistry = "127.0.0.1:8500"
	defaultRaft     = "127.0.0.1:8501"
)

// registryFlags are the flags that the subcommands of `registry` share.
type registryFlags struct {
	*sharedFlags
	at     []string // HTTP addresses of replicas
	within time.Duration
}

// client is a client of the replicas.
func (f *registryFlags) client() *registry.Client { return &registry.Client{Replicas: f.at} }

// context bounds what a subcommand asks of the service.
func (f *registryFlags) context(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), f.within)
}

// registryCommand is the group of the list service.
func registryCommand(s *sharedFlags) *cobra.Command {
	f := registryFlags{sharedFlags: s}
	c := &cobra.Command{
		Use:     "registry",
		Short:   "Run the list service, read its list of app servers and change it",
		Example: "  opalhook registry serve\n  opalhook registry register s-1 127.0.0.1:9001 --zone a\n  opalhook registry list",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringSliceVar(&f.at, "at", []string{defaultRegistry}, "HTTP addresses of replicas")
	c.PersistentFlags().DurationVar(&f.within, "within", 15*time.Second, "how long to go on trying")
	c.AddCommand(registryServe(s), registryList(&f), registryShow(&f), registryWatch(&f), registryRegister(&f),
		registryChange(&f, "drain", "Let an instance finish the requests it has", (*registry.Client).Drain),
		registryChange(&f, "remove", "Take an instance out of the list", (*registry.Client).Remove),
		registryChange(&f, "renew", "Extend an instance's lease by its term", (*registry.Client).Renew),
		registryStatus(&f), registryBackup(&f), registryRestore(s), registryDismiss(&f))
	return c
}

func registryServe(s *sharedFlags) *cobra.Command {
	var cfg registry.Config
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a replica of the list service until a signal",
		Long: "Run a replica of the list service. With no flags it is a service of one, on loopback, with its state in a folder.\n" +
			"Further replicas join it; three or five are wanted.",
		Example: "  opalhook registry serve\n  opalhook registry serve --listen 127.0.0.2:8500 --raft 127.0.0.2:8501 --data r2 --join 127.0.0.1:8500",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg.Logger = s.logger()
			srv, err := registry.Start(c.Context(), cfg)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(c.OutOrStdout(), "list service at http://%s/registry/instances\n", srv.Addr()); err != nil {
				return errors.Join(err, srv.Close())
			}
			<-c.Context().Done()
			return srv.Close()
		},
	}
	c.Flags().StringVar(&cfg.Dir, "data", "registry-data", "folder of the state")
	c.Flags().StringVar(&cfg.Listen, "listen", defaultRegistry, "address for readers and writers")
	c.Flags().StringVar(&cfg.Raft, "raft", defaultRaft, "address for the other replicas")
	c.Flags().StringVar(&cfg.Join, "join", "", "HTTP address of a replica of the service to join, for a new folder")
	c.Flags().DurationVar(&cfg.ElectionTimeout, "election-timeout", 0, "without a word of the leader after which another is elected (default 500ms)")
	return c
}

func registryList(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "Show the list",
		Example: "  opalhook registry list\n  opalhook registry list --at 127.0.0.1:8500,127.0.0.2:8500 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			generation, entries, err := f.client().List(ctx)
			if err != nil {
				return err
			}
			if f.json() {
				return writeJSON(c.OutOrStdout(), map[string]any{"generation": generation, "instances": entries})
			}
			var table strings.Builder
			fmt.Fprintln(&table, "INSTANCE\tADDRESS\tLIFECYCLE\tZONE\tKIND\tWEIGHT")
			for _, e := range entries {
				fmt.Fprintf(&table, "%s\t%s\t%s\t%s\t%s\t%g\n", e.InstanceID, e.HostPort, e.Lifecycle, e.Zone, e.MachineType, e.Weight)
			}
			fmt.Fprintf(&table, "generation %d, %d instances\n", generation, len(entries))
			return writeTable(c.OutOrStdout(), table.String())
		},
	}
}

func registryShow(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "show ID",
		Short:   "Show one instance as all acknowledged writes have left it",
		Example: "  opalhook registry show s-1 -o json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			st, err := f.client().Show(ctx, args[0])
			if err != nil {
				return err
			}
			if f.json() {
				return writeJSON(c.OutOrStdout(), st)
			}
			lease := "none"
			if st.LeaseMs > 0 {
				lease = (time.Duration(st.LeaseMs) * time.Millisecond).String()
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s %s %s, zone %s, incarnation %d, lease %s, generation %d\n",
				st.InstanceID, st.HostPort, st.Lifecycle, st.Zone, st.Incarnation, lease, st.Generation)
			return err
		},
	}
}

func registryWatch(f *registryFlags) *cobra.Command {
	var from uint64
	c := &cobra.Command{
		Use:     "watch",
		Short:   "Show changes of the list as they come, until a signal",
		Example: "  opalhook registry watch\n  opalhook registry watch --from 41 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var werr error
			err := f.client().Watch(c.Context(), from, func(generation uint64, reset bool, entries []registry.Entry) {
				if f.json() {
					werr = errors.Join(werr, writeJSON(c.OutOrStdout(), map[string]any{"generation": generation, "reset": reset, "instances": entries}))
					return
				}
				kind := "changes"
				if reset {
					kind = "full list"
				}
				var text strings.Builder
				fmt.Fprintf(&text, "generation %d, %s:\n", generation, kind)
				for _, e := range entries {
					fmt.Fprintf(&text, "  %s %s %s\n", e.InstanceID, e.HostPort, e.Lifecycle)
				}
				_, err := io.WriteString(c.OutOrStdout(), text.String())
				werr = errors.Join(werr, err)
			})
			if c.Context().Err() != nil {
				return werr
			}
			return errors.Join(err, werr)
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "version that is known already; 0: show the full list first")
	return c
}

// writeOutcome tells how a write came out.
func writeOutcome(s *sharedFlags, c *cobra.Command, o registry.Outcome) error {
	if s.json() {
		return writeJSON(c.OutOrStdout(), o)
	}
	word := "done"
	if o.Code == registry.Unchanged {
		word = "nothing to do"
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%s, generation %d\n", word, o.Generation)
	return err
}

func registryRegister(f *registryFlags) *cobra.Command {
	var r registry.Registration
	var lease time.Duration
	c := &cobra.Command{
		Use:     "register ID ADDRESS",
		Short:   "Put an instance into the list",
		Example: "  opalhook registry register s-1 127.0.0.1:9001 --zone a --kind std-4c --lease 10s",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			r.InstanceID, r.HostPort, r.Lifecycle, r.LeaseMs = args[0], args[1], registry.Up, lease.Milliseconds()
			if r.Incarnation == 0 {
				r.Incarnation = uint64(time.Now().UnixMicro())
			}
			o, err := f.client().Register(ctx, r)
			if err != nil {
				return err
			}
			return writeOutcome(f.sharedFlags, c, o)
		},
	}
	c.Flags().StringVar(&r.Zone, "zone", "", "where it stands")
	c.Flags().StringVar(&r.MachineType, "kind", "", "kind of its machine")
	c.Flags().IntVar(&r.Cell, "cell", 0, "its cell")
	c.Flags().Float64Var(&r.Weight, "weight", 1, "its size beside others'")
	c.Flags().Int64Var(&r.StartedAtMs, "started-at-ms", 0, "its last start in Unix milliseconds; 0: long ago")
	c.Flags().Uint64Var(&r.Incarnation, "incarnation", 0, "number that grows with each start (default: the time in microseconds)")
	c.Flags().DurationVar(&lease, "lease", 0, "it is removed when not renewed for so long; 0: it stays")
	return c
}

func registryChange(f *registryFlags, verb, short string,
	do func(*registry.Client, context.Context, registry.InstanceRef) (registry.Outcome, error),
) *cobra.Command {
	var o registry.InstanceRef
	c := &cobra.Command{
		Use:     verb + " ID",
		Short:   short,
		Example: "  opalhook registry " + verb + " s-1 --incarnation 3",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			o.ID = args[0]
			out, err := do(f.client(), ctx, o)
			if err != nil {
				return err
			}
			return writeOutcome(f.sharedFlags, c, out)
		},
	}
	c.Flags().Uint64Var(&o.Incarnation, "incarnation", 0, "only this start of it; 0: whichever is there")
	return c
}

func registryStatus(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show each replica: who leads, versions, leases, watches",
		Example: "  opalhook registry status --at 127.0.0.1:8500,127.0.0.2:8500",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			cl := f.client()
			all, errs := cl.Status(ctx)
			if f.json() {
				return errors.Join(append([]error{writeJSON(c.OutOrStdout(), all)}, errs...)...)
			}
			var table strings.Builder
			fmt.Fprintln(&table, "REPLICA\tSTATE\tLEADER\tGENERATION\tENTRIES\tLEASES\tWATCHES\tEXPIRY")
			for i, st := range all {
				if errs[i] != nil {
					fmt.Fprintf(&table, "%s\tno answer: %v\n", cl.Replicas[i], errs[i])
					continue
				}
				expiry := "runs"
				if st.ExpirySuspended {
					expiry = "PAUSED: many leases run out at once; look at the network before the instances"
				}
				fmt.Fprintf(&table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", st.Replica, st.State, st.Leader, st.Generation, st.Entries, st.Leases, st.Watches, expiry)
			}
			return errors.Join(append(errs, writeTable(c.OutOrStdout(), table.String()))...)
		},
	}
}

func registryBackup(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "backup FILE",
		Short:   "Write the list to a new file",
		Example: "  opalhook registry backup list-monday.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			file, err := os.OpenFile(args[0], os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
			if err != nil {
				return fmt.Errorf("backup: %w", err)
			}
			if err := errors.Join(f.client().Backup(ctx, file), file.Sync(), file.Close()); err != nil {
				return errors.Join(err, os.Remove(args[0]))
			}
			return nil
		},
	}
}

func registryRestore(s *sharedFlags) *cobra.Command {
	var dir string
	var epoch uint64
	c := &cobra.Command{
		Use:   "restore FILE",
		Short: "Prepare a folder for a service that begins with a backup",
		Long: "Prepare a folder from which `opalhook registry serve --data FOLDER` begins a new service with the list of a backup,\n" +
			"in a new epoch: no version of the list before can be mistaken for one of it.",
		Example: "  opalhook registry restore list-monday.json --data new-data",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("backup: %w", err)
			}
			defer func() { _ = f.Close() }() // it was read only
			if epoch == 0 {
				epoch = registry.EpochAt(time.Now())
			}
			st, err := registry.Restore(dir, f, epoch)
			if err != nil {
				return err
			}
			if s.json() {
				return writeJSON(c.OutOrStdout(), map[string]any{"epoch": st.Epoch(), "generation": st.Generation(), "entries": st.Len()})
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%d entries in epoch %d; start it with: opalhook registry serve --data %s\n", st.Len(), st.Epoch(), dir)
			return err
		},
	}
	c.Flags().StringVar(&dir, "data", "registry-data", "folder to prepare; it must be new or empty")
	c.Flags().Uint64Var(&epoch, "epoch", 0, "larger than any epoch the list has been in (default: from the time)")
	return c
}

func registryDismiss(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "dismiss REPLICA",
		Short:   "Take a replica out of the service for good",
		Example: "  opalhook registry status\n  opalhook registry dismiss r0123456789ab@127.0.0.2:8500",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			o, err := f.client().RemoveReplica(ctx, args[0])
			if err != nil {
				return err
			}
			return writeOutcome(f.sharedFlags, c, o)
		},
	}
}
