package scale

import (
	"errors"
	"math"
)

// errSingular is returned when the sizes do not tell the factors apart.
var errSingular = errors.New("the sizes do not tell the factors apart")

// Fit is a quantity as a sum: Base + PerWorker*workers + PerTask*running tasks
// + PerStart*starts per second.
type Fit struct {
	Base      float64 `json:"base"`
	PerWorker float64 `json:"per_worker"`
	PerTask   float64 `json:"per_running_task"`
	PerStart  float64 `json:"per_start_per_second"`
	// R2 is the part of the variance that the fit accounts for.
	R2 float64 `json:"r2"`
}

const factors = 4

// row is the factors of one size.
func row(size Size) [factors]float64 {
	return [factors]float64{1, float64(size.Workers), float64(size.Tasks), size.StartsPerSecond}
}

// At returns the quantity at a size.
func (f Fit) At(size Size) float64 {
	x := row(size)
	return f.Base + f.PerWorker*x[1] + f.PerTask*x[2] + f.PerStart*x[3]
}

// fit finds the least squares by the normal equations. The factors are scaled
// to their largest value before, since they differ by orders of magnitude.
func fit(sizes []Size, values []float64) (Fit, error) {
	scales := [factors]float64{}
	for _, size := range sizes {
		for index, value := range row(size) {
			scales[index] = max(scales[index], value)
		}
	}
	var matrix [factors][factors + 1]float64
	for number, size := range sizes {
		x := row(size)
		for i := range factors {
			for j := range factors {
				matrix[i][j] += x[i] / scales[i] * x[j] / scales[j]
			}
			matrix[i][factors] += x[i] / scales[i] * values[number]
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
	result.R2 = determination(result, sizes, values)
	return result, nil
}

// solve is Gaussian elimination with partial pivoting.
func solve(m [factors][factors + 1]float64) ([factors]float64, error) {
	const tooSmall = 1e-9
	var x [factors]float64
	for column := range factors {
		pivot := column
		for i := column + 1; i < factors; i++ {
			if math.Abs(m[i][column]) > math.Abs(m[pivot][column]) {
				pivot = i
			}
		}
		if math.Abs(m[pivot][column]) < tooSmall {
			return x, errSingular
		}
		m[column], m[pivot] = m[pivot], m[column]
		for i := column + 1; i < factors; i++ {
			ratio := m[i][column] / m[column][column]
			for j := column; j <= factors; j++ {
				m[i][j] -= ratio * m[column][j]
			}
		}
	}
	for i := factors - 1; i >= 0; i-- {
		x[i] = m[i][factors]
		for j := i + 1; j < factors; j++ {
			x[i] -= m[i][j] * x[j]
		}
		x[i] /= m[i][i]
	}
	return x, nil
}

func determination(f Fit, sizes []Size, values []float64) float64 {
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
