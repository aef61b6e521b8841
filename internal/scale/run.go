package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/procfs"
)

// Options configure a [Run].
type Options struct {
	Parts    []Part   // all parts that can be selected
	Names    []string // names of the parts to measure; empty: all
	Sizes    []int    // sizes to measure instead of the part's own; requires exactly one part
	Seed     uint64
	Memory   uint64           // total memory of the machine, in bytes; 0: read from the system
	Progress func(p Progress) // may be nil
}

// Progress is the progress of the measurement of a part at a size.
type Progress struct {
	Part        string
	Size        int
	Done, Total int    // steps
	Doing       string // description of the current step
}

// InputError reports an invalid option.
type InputError struct {
	Field  string // name of the command-line flag for the option
	Reason string // received value and accepted values
}

func (e *InputError) Error() string { return e.Field + ": " + e.Reason }

// MemoryError reports a size that needs more memory than a measurement may use.
type MemoryError struct {
	Part   string
	Size   int
	Need   uint64 // estimated memory for the size, in bytes
	Limit  uint64 // maximum memory for a measurement, in bytes
	Memory uint64 // total memory of the machine, in bytes
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("sizes: %s at %d needs about %s; at most half of this machine's %s may be used, which is %s",
		e.Part, e.Size, formatBytes(float64(e.Need)), formatBytes(float64(e.Memory)), formatBytes(float64(e.Limit)))
}

// maxSize is the largest accepted size. It is far larger than any fleet, and memory estimates for it do not
// overflow.
const maxSize = 1 << 31

// memoryDivisor sets the memory limit of a measurement: the machine's memory divided by memoryDivisor. The
// rest is left to other processes.
const memoryDivisor = 2

// Run measures the selected parts one after the other. It returns an [InputError] or a [MemoryError] and
// measures nothing if an option is invalid or a size needs too much memory. If ctx is cancelled, Run returns
// the report of the sizes measured so far, with Ended set, and no error. If a part fails, it returns the
// report so far with the part's error.
func Run(ctx context.Context, o Options) (*Report, error) {
	parts, err := o.selectParts()
	if err != nil {
		return nil, err
	}
	if err := o.checkMemory(parts); err != nil {
		return nil, err
	}
	report := &Report{Seed: o.Seed}
	for i := range parts {
		p := &parts[i]
		result := PartReport{Name: p.Name, Title: p.Title, Size: p.Size, Rows: []Row{}}
		err := o.measure(ctx, p, &result)
		result.fit()
		report.Parts = append(report.Parts, result)
		switch {
		case err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err()):
			report.Ended = "interrupted while measuring " + p.Name
			return report, nil
		case err != nil:
			return report, fmt.Errorf("%s: %w", p.Name, err)
		}
	}
	return report, nil
}

// measure measures the sizes of one part.
func (o *Options) measure(ctx context.Context, p *Part, result *PartReport) error {
	for _, size := range p.Sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		env := Env{Seed: o.Seed, Progress: func(done, total int, doing string) {
			if o.Progress != nil {
				o.Progress(Progress{Part: p.Name, Size: size, Done: done, Total: total, Doing: doing})
			}
		}}
		rows, err := p.Measure(ctx, size, env)
		result.Rows = append(result.Rows, rows...)
		if err != nil {
			return fmt.Errorf("size %d: %w", size, err)
		}
	}
	return nil
}

// selectParts returns the parts to measure, each with the sizes to measure.
func (o *Options) selectParts() ([]Part, error) {
	var parts []Part
	for _, name := range o.Names {
		i := slices.IndexFunc(o.Parts, func(p Part) bool { return p.Name == name })
		if i < 0 {
			return nil, &InputError{"part", fmt.Sprintf("got %q, must be one of %s", name, strings.Join(o.partNames(), ", "))}
		}
		parts = append(parts, o.Parts[i])
	}
	if len(o.Names) == 0 {
		parts = slices.Clone(o.Parts)
	}
	if len(o.Sizes) == 0 {
		return parts, nil
	}
	if len(parts) != 1 {
		return nil, &InputError{"sizes", fmt.Sprintf("requires exactly one part, because each part has its own sizes; got %d parts", len(parts))}
	}
	for _, size := range o.Sizes {
		switch {
		case size < 1:
			return nil, &InputError{"sizes", fmt.Sprintf("must be at least 1, got %d", size)}
		case size > maxSize:
			return nil, &InputError{"sizes", fmt.Sprintf("must be at most %d, got %d", maxSize, size)}
		}
	}
	parts[0].Sizes = slices.Compact(slices.Sorted(slices.Values(o.Sizes)))
	return parts, nil
}

func (o *Options) partNames() (names []string) {
	for _, p := range o.Parts {
		names = append(names, p.Name)
	}
	return names
}

// checkMemory returns a [MemoryError] for the first size that needs more memory than a measurement may use.
func (o *Options) checkMemory(parts []Part) error {
	memory := o.Memory
	if memory == 0 {
		var err error
		if memory, err = machineMemory(); err != nil {
			return err
		}
	}
	for _, p := range parts {
		for _, size := range p.Sizes {
			if need := p.Memory(size); need > memory/memoryDivisor {
				return &MemoryError{Part: p.Name, Size: size, Need: need, Limit: memory / memoryDivisor, Memory: memory}
			}
		}
	}
	return nil
}

// machineMemory returns the total memory of this machine in bytes.
func machineMemory() (uint64, error) {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, fmt.Errorf("reading the memory size of this machine: %w", err)
	}
	info, err := proc.Meminfo()
	if err != nil {
		return 0, fmt.Errorf("reading the memory size of this machine: %w", err)
	}
	if info.MemTotalBytes == nil {
		return 0, errors.New("reading the memory size of this machine: /proc/meminfo has no MemTotal")
	}
	return *info.MemTotalBytes, nil
}
