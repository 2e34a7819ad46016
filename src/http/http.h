/** @file http.h Public header of the http library: server and client tasks on the loop. */
#ifndef WAXWING_HTTP_HTTP_H
#define WAXWING_HTTP_HTTP_H

#include "http/connect_probe_base.h"
#include "http/http_client_base.h"
#include "http/http_server_base.h"

#endif
