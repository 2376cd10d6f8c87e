package scale

import (
	"errors"
	"math"
)

// errSingular is returned when the sizes do not vary enough to determine each factor.
var errSingular = errors.New("the sizes do not vary enough to determine each factor")

// Fit is a linear model of a quantity: Base + PerWorker*workers + PerTask*running tasks
// + PerStart*starts per second.
type Fit struct {
	Base      float64 `json:"base"`
	PerWorker float64 `json:"per_worker"`
	PerTask   float64 `json:"per_running_task"`
	PerStart  float64 `json:"per_start_per_second"`
	// R2 is the coefficient of determination, the part of the variance that the fit
	// explains.
	R2 float64 `json:"r2"`
}

const factorCount = 4

// factorsOf returns the factors of one size, the constant 1 first.
func factorsOf(size Size) [factorCount]float64 {
	return [factorCount]float64{1, float64(size.Workers), float64(size.Tasks), size.StartsPerSecond}
}

// At returns the value of the fit at a size.
func (f Fit) At(size Size) float64 {
	x := factorsOf(size)
	return f.Base + f.PerWorker*x[1] + f.PerTask*x[2] + f.PerStart*x[3]
}

// fit computes the least-squares fit with the normal equations. The factors are scaled by
// their largest value first, since they differ by orders of magnitude. It returns
// errSingular if the sizes do not determine the factors.
func fit(sizes []Size, values []float64) (Fit, error) {
	scales := [factorCount]float64{}
	for _, size := range sizes {
		for index, value := range factorsOf(size) {
			scales[index] = max(scales[index], value)
		}
	}
	var matrix [factorCount][factorCount + 1]float64
	for number, size := range sizes {
		x := factorsOf(size)
		for i := range factorCount {
			for j := range factorCount {
				matrix[i][j] += x[i] / scales[i] * x[j] / scales[j]
			}
			matrix[i][factorCount] += x[i] / scales[i] * values[number]
		}
	}
	solved, err := solve(matrix)
	if err != nil {
		return Fit{}, err
	}
	result := Fit{
		Base: solved[0] / scales[0], PerWorker: solved[1] / scales[1],
		PerTask: solved[2] / scales[2], PerStart: solved[3] / scales[3],
	}
	result.R2 = rSquared(result, sizes, values)
	return result, nil
}

// solve solves the linear equations of the augmented matrix m by Gaussian elimination
// with partial pivoting.
func solve(m [factorCount][factorCount + 1]float64) ([factorCount]float64, error) {
	const minPivot = 1e-9
	var x [factorCount]float64
	for column := range factorCount {
		pivot := column
		for i := column + 1; i < factorCount; i++ {
			if math.Abs(m[i][column]) > math.Abs(m[pivot][column]) {
				pivot = i
			}
		}
		if math.Abs(m[pivot][column]) < minPivot {
			return x, errSingular
		}
		m[column], m[pivot] = m[pivot], m[column]
		for i := column + 1; i < factorCount; i++ {
			ratio := m[i][column] / m[column][column]
			for j := column; j <= factorCount; j++ {
				m[i][j] -= ratio * m[column][j]
			}
		}
	}
	for i := factorCount - 1; i >= 0; i-- {
		x[i] = m[i][factorCount]
		for j := i + 1; j < factorCount; j++ {
			x[i] -= m[i][j] * x[j]
		}
		x[i] /= m[i][i]
	}
	return x, nil
}

func rSquared(f Fit, sizes []Size, values []float64) float64 {
	mean := 0.0
	for _, value := range values {
		mean += value / float64(len(values))
	}
	var residual, total float64
	for index, value := range values {
		residual += math.Pow(value-f.At(sizes[index]), 2)
		total += math.Pow(value-mean, 2)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}
