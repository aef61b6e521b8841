package scale

// rowWriter collects the rows of a part at one size.
type rowWriter struct {
	part string
	size int
	rows []Row
}

func (w *rowWriter) add(quantity string, value float64, unit string) {
	w.rows = append(w.rows, Row{Part: w.part, Size: w.size, Quantity: quantity, Value: value, Unit: unit})
}

// addIfMeasured adds a row unless its value is 0, which stands for a quantity that was not measured.
func (w *rowWriter) addIfMeasured(quantity string, value float64, unit string) {
	if value > 0 {
		w.add(quantity, value, unit)
	}
}

// addQuantile adds a quantile of the durations of a kind of calls, if any such call was timed.
func (w *rowWriter) addQuantile(s *stopwatch, quantity string, kind callKind, fraction float64) {
	if seconds, ok := s.quantile(kind, fraction); ok {
		w.add(quantity, seconds, "s")
	}
}
