package api_test

import (
	"context"
	"errors"
	"fmt"
	"log"
	"time"

	"github.com/decklever/decklever/api"
)

func ExampleClient_SubmitJob() {
	client, err := api.NewClient(api.ClientConfig{Endpoints: []string{"http://127.1.0.1:7200", "http://127.1.0.2:7200"}})
	if err != nil {
		log.Print(err)
		return
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	task := api.TaskSpec{Service: "render", Resources: api.Resources{CPUMillis: 500, MemoryMB: 256}}
	_, err = client.SubmitJob(ctx, "report-17", api.JobSpec{
		Queue: "default",
		Steps: []api.StepSpec{{Name: "render", Tasks: []api.TaskSpec{task}}},
	})
	if errors.Is(err, &api.Error{Code: api.CodeConflict}) {
		log.Print("another job has this id")
		return
	}
	if err != nil {
		log.Print(err)
		return
	}
	status, err := client.Job(ctx, "report-17", 30*time.Second)
	if err != nil {
		log.Print(err)
		return
	}
	fmt.Println(status.State)
}

func ExampleValidateJob() {
	job := api.JobSpec{Queue: "default", Steps: []api.StepSpec{{Name: "render"}}}
	for _, field := range api.ValidateJob("report-17", &job, nil) {
		fmt.Printf("%s is %q, expected %s\n", field.Field, field.Value, field.Expected)
	}
	// Output:
	// steps[0].tasks is "[]", expected at least one task
}
