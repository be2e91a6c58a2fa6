package capacity

import "math"

// Line is a straight line fitted by least squares.
type Line struct {
	Intercept float64
	Slope     float64
	// ResidualDeviation is the standard deviation of the residuals.
	ResidualDeviation float64
	// RSquared is the coefficient of determination.
	RSquared float64
}

// Fit returns the line fitted to the points. It needs at least three points.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	meanX, meanY := mean(x), mean(y)
	var xx, xy, yy float64
	for i := range x {
		xx += (x[i] - meanX) * (x[i] - meanX)
		xy += (x[i] - meanX) * (y[i] - meanY)
		yy += (y[i] - meanY) * (y[i] - meanY)
	}
	slope := xy / xx
	l := Line{Intercept: meanY - slope*meanX, Slope: slope, RSquared: 1}
	var residual float64
	for i := range x {
		d := y[i] - l.At(x[i])
		residual += d * d
	}
	l.ResidualDeviation = math.Sqrt(residual / max(n-2, 1))
	if yy > 0 {
		l.RSquared = 1 - residual/yy
	}
	return l
}

// At returns the y value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
