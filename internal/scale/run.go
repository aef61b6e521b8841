package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/procfs"
)

// Options say what is measured.
type Options struct {
	Parts    []Part   // those that there are
	Names    []string // of the parts to measure; none: all
	Sizes    []int    // in place of the part's own; only where one part is measured
	Seed     uint64
	Memory   uint64           // of the machine in bytes; 0: it is asked
	Progress func(p Progress) // may be nil
}

// Progress is how far a measurement has come.
type Progress struct {
	Part        string
	Size        int
	Done, Total int
	Doing       string
}

// InputError is an error of what was asked for.
type InputError struct {
	Field string // the option's name
	Why   string
}

func (e *InputError) Error() string { return e.Field + ": " + e.Why }

// MemoryError tells of a size that would pass the share of the machine's memory that may be used.
type MemoryError struct {
	Part   string
	Size   int
	Need   uint64 // bytes, estimated
	Most   uint64 // bytes that may be used
	Memory uint64 // bytes that the machine has
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("sizes: %s at %d needs about %s; half of this machine's %s is %s",
		e.Part, e.Size, formatBytes(float64(e.Need)), formatBytes(float64(e.Memory)), formatBytes(float64(e.Most)))
}

// maxSize is the largest size: far beyond any fleet, and its estimate of memory is no overflow.
const maxSize = 1 << 31

// memoryDivisor is the divisor of the machine's memory that gives what may be used.
const memoryDivisor = 2

// Run measures the parts one after the other. It returns an [InputError] or a [MemoryError], and
// measures nothing, where what was asked for can't be. The report has what was measured until the
// context was cancelled, if it was; an error of a part ends the run as well.
func Run(ctx context.Context, o Options) (*Report, error) {
	parts, err := o.chosen()
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
			report.Ended = "cut off while " + p.Name + " was measured"
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

// chosen returns the parts to measure, each with the sizes to measure.
func (o *Options) chosen() ([]Part, error) {
	var parts []Part
	for _, name := range o.Names {
		i := slices.IndexFunc(o.Parts, func(p Part) bool { return p.Name == name })
		if i < 0 {
			return nil, &InputError{"part", fmt.Sprintf("%q is none of %s", name, strings.Join(o.names(), ", "))}
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
		return nil, &InputError{"sizes", "name one part: each counts sizes of its own"}
	}
	for _, size := range o.Sizes {
		switch {
		case size < 1:
			return nil, &InputError{"sizes", fmt.Sprintf("%d is below 1", size)}
		case size > maxSize:
			return nil, &InputError{"sizes", fmt.Sprintf("%d is above %d", size, maxSize)}
		}
	}
	parts[0].Sizes = slices.Compact(slices.Sorted(slices.Values(o.Sizes)))
	return parts, nil
}

func (o *Options) names() (names []string) {
	for _, p := range o.Parts {
		names = append(names, p.Name)
	}
	return names
}

// checkMemory rejects the first size that would take too much.
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
				return &MemoryError{Part: p.Name, Size: size, Need: need, Most: memory / memoryDivisor, Memory: memory}
			}
		}
	}
	return nil
}

// machineMemory is the memory of this machine in bytes.
func machineMemory() (uint64, error) {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, fmt.Errorf("memory of this machine: %w", err)
	}
	info, err := proc.Meminfo()
	if err != nil {
		return 0, fmt.Errorf("memory of this machine: %w", err)
	}
	if info.MemTotalBytes == nil {
		return 0, errors.New("memory of this machine: /proc/meminfo has no MemTotal")
	}
	return *info.MemTotalBytes, nil
}
