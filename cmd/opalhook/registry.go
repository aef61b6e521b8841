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

// Default addresses of a replica of the list service.
const (
	defaultRegistry = "127.0.0.1:8500" // for clients, over HTTP
	defaultRaft     = "127.0.0.1:8501" // for the other replicas, over Raft
)

// registryFlags are the flags that the subcommands of `registry` share, except serve and restore, which call
// no replica.
type registryFlags struct {
	*globalFlags
	at     []string      // HTTP addresses of replicas
	within time.Duration // time limit of a subcommand, including retries; watch has none
}

// client returns a client for the replicas.
func (f *registryFlags) client() *registry.Client { return &registry.Client{Replicas: f.at} }

// context returns the command's context with the timeout of --within.
func (f *registryFlags) context(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), f.within)
}

// registryCommand returns the group of commands for the list service.
func registryCommand(s *globalFlags) *cobra.Command {
	f := registryFlags{globalFlags: s}
	c := &cobra.Command{
		Use:     "registry",
		Short:   "Run the list service, and read and change its list of app servers",
		Example: "  opalhook registry serve\n  opalhook registry register s-1 127.0.0.1:9001 --zone a\n  opalhook registry list",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringSliceVar(&f.at, "at", []string{defaultRegistry}, "HTTP addresses of the list service's replicas")
	c.PersistentFlags().DurationVar(&f.within, "within", 15*time.Second, "time limit, including retries; not used by serve, restore and watch")
	c.AddCommand(registryServe(s), registryList(&f), registryShow(&f), registryWatch(&f), registryRegister(&f),
		registryChange(&f, "drain", "Drain an instance: it gets no new requests and finishes its current ones", (*registry.Client).Drain),
		registryChange(&f, "remove", "Remove an instance from the list", (*registry.Client).Remove),
		registryChange(&f, "renew", "Renew an instance's lease for its full duration", (*registry.Client).Renew),
		registryStatus(&f), registryBackup(&f), registryRestore(s), registryDismiss(&f))
	return c
}

func registryServe(s *globalFlags) *cobra.Command {
	var cfg registry.Config
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a replica of the list service",
		Long: "Run a replica of the list service until stopped by a signal. Without flags, the service consists of this replica\n" +
			"only, which listens on loopback and stores its state in a folder. Further replicas join it with --join; run three or\n" +
			"five replicas to tolerate the failure of one or two.",
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
	c.Flags().StringVar(&cfg.Dir, "data", "registry-data", "folder that stores the replica's state")
	c.Flags().StringVar(&cfg.Listen, "listen", defaultRegistry, "address to listen on for clients")
	c.Flags().StringVar(&cfg.Raft, "raft", defaultRaft, "address to listen on for the other replicas")
	c.Flags().StringVar(&cfg.Join, "join", "", "HTTP address of a replica of the service to join; used only if the state folder is new")
	c.Flags().DurationVar(&cfg.ElectionTimeout, "election-timeout", 0, "time without contact to the leader after which another leader is elected (default 500ms)")
	return c
}

func registryList(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List all instances",
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
				fmt.Fprintf(&table, "%s\t%s\t%s\t%s\t%s\t%g\n", e.ID, e.Addr, e.Lifecycle, e.Zone, e.MachineType, e.Weight)
			}
			fmt.Fprintf(&table, "generation %d, %d instances\n", generation, len(entries))
			return writeTable(c.OutOrStdout(), table.String())
		},
	}
}

func registryShow(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "show ID",
		Short:   "Show an instance with the effects of all acknowledged writes",
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
				st.ID, st.Addr, st.Lifecycle, st.Zone, st.Incarnation, lease, st.Generation)
			return err
		},
	}
}

func registryWatch(f *registryFlags) *cobra.Command {
	var from uint64
	c := &cobra.Command{
		Use:     "watch",
		Short:   "Print changes to the list as they happen",
		Example: "  opalhook registry watch\n  opalhook registry watch --from 41 -o json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var writeErr error
			err := f.client().Watch(c.Context(), from, func(generation uint64, reset bool, entries []registry.Entry) {
				if f.json() {
					writeErr = errors.Join(writeErr, writeJSON(c.OutOrStdout(), map[string]any{"generation": generation, "reset": reset, "instances": entries}))
					return
				}
				kind := "changes"
				if reset {
					kind = "full list"
				}
				var text strings.Builder
				fmt.Fprintf(&text, "generation %d, %s:\n", generation, kind)
				for _, e := range entries {
					fmt.Fprintf(&text, "  %s %s %s\n", e.ID, e.Addr, e.Lifecycle)
				}
				_, err := io.WriteString(c.OutOrStdout(), text.String())
				writeErr = errors.Join(writeErr, err)
			})
			if c.Context().Err() != nil {
				return writeErr
			}
			return errors.Join(err, writeErr)
		},
	}
	c.Flags().Uint64Var(&from, "from", 0, "generation after which changes are printed; 0: print the full list first")
	return c
}

// writeOutcome writes the outcome of a change.
func writeOutcome(s *globalFlags, c *cobra.Command, o registry.Outcome) error {
	if s.json() {
		return writeJSON(c.OutOrStdout(), o)
	}
	status := "done"
	if o.Code == registry.Unchanged {
		status = "no change"
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%s, generation %d\n", status, o.Generation)
	return err
}

func registryRegister(f *registryFlags) *cobra.Command {
	var r registry.Registration
	var lease time.Duration
	c := &cobra.Command{
		Use:     "register ID ADDRESS",
		Short:   "Add an instance to the list",
		Example: "  opalhook registry register s-1 127.0.0.1:9001 --zone a --kind std-4c --lease 10s",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			r.ID, r.Addr, r.Lifecycle, r.LeaseMs = args[0], args[1], registry.Up, lease.Milliseconds()
			if r.Incarnation == 0 {
				r.Incarnation = uint64(time.Now().UnixMicro())
			}
			o, err := f.client().Register(ctx, r)
			if err != nil {
				return err
			}
			return writeOutcome(f.globalFlags, c, o)
		},
	}
	c.Flags().StringVar(&r.Zone, "zone", "", "zone of the instance")
	c.Flags().StringVar(&r.MachineType, "kind", "", "machine type of the instance")
	c.Flags().IntVar(&r.Cell, "cell", 0, "cell of the instance")
	c.Flags().Float64Var(&r.Weight, "weight", 1, "capacity relative to other instances")
	c.Flags().Int64Var(&r.StartedAtMs, "started-at-ms", 0, "start time in Unix milliseconds; 0: started long ago")
	c.Flags().Uint64Var(&r.Incarnation, "incarnation", 0, "number that increases with each start of the instance (default: the Unix time in microseconds)")
	c.Flags().DurationVar(&lease, "lease", 0, "remove the instance if its lease is not renewed for this long; 0: the instance has no lease")
	return c
}

// registryChange returns a command that changes one instance.
func registryChange(f *registryFlags, verb, short string,
	do func(*registry.Client, context.Context, registry.InstanceRef) (registry.Outcome, error),
) *cobra.Command {
	var ref registry.InstanceRef
	c := &cobra.Command{
		Use:     verb + " ID",
		Short:   short,
		Example: "  opalhook registry " + verb + " s-1 --incarnation 3",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			ref.ID = args[0]
			outcome, err := do(f.client(), ctx, ref)
			if err != nil {
				return err
			}
			return writeOutcome(f.globalFlags, c, outcome)
		},
	}
	c.Flags().Uint64Var(&ref.Incarnation, "incarnation", 0, "change the instance only if it has this incarnation; 0: any")
	return c
}

func registryStatus(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show each replica's state, leader, generation, leases and watches",
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
					fmt.Fprintf(&table, "%s\terror: %v\n", cl.Replicas[i], errs[i])
					continue
				}
				expiry := "running"
				if st.ExpirySuspended {
					expiry = "PAUSED: many leases expire at once; check the network before the instances"
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
		Short:   "Back up the list to a new file",
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

func registryRestore(s *globalFlags) *cobra.Command {
	var dir string
	var epoch uint64
	c := &cobra.Command{
		Use:   "restore FILE",
		Short: "Restore a backup into the state folder of a new service",
		Long: "Prepare a folder from which `opalhook registry serve --data FOLDER` starts a new service with the list of a backup.\n" +
			"The restored list has a new epoch, so that its generations cannot be mistaken for those of the previous list.",
		Example: "  opalhook registry restore list-monday.json --data new-data",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("backup: %w", err)
			}
			defer func() { _ = f.Close() }() // opened for reading only
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
			_, err = fmt.Fprintf(c.OutOrStdout(), "restored %d entries in epoch %d; start the service with: opalhook registry serve --data %s\n", st.Len(), st.Epoch(), dir)
			return err
		},
	}
	c.Flags().StringVar(&dir, "data", "registry-data", "state folder to create; must be new or empty")
	c.Flags().Uint64Var(&epoch, "epoch", 0, "epoch of the restored list; must be larger than all its earlier epochs (default: derived from the current time)")
	return c
}

func registryDismiss(f *registryFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "dismiss REPLICA",
		Short:   "Permanently remove a replica from the service",
		Example: "  opalhook registry status\n  opalhook registry dismiss r0123456789ab@127.0.0.2:8500",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := f.context(c)
			defer cancel()
			o, err := f.client().RemoveReplica(ctx, args[0])
			if err != nil {
				return err
			}
			return writeOutcome(f.globalFlags, c, o)
		},
	}
}
