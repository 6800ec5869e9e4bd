"""The real balancer: what is spoken (`wire`), what is kept (`memory`), start and stop (`run`)."""
