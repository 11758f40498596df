import { MapType } from "../fields/map_type.ts";
import { nameType } from "./name_type.ts";
import { serviceType } from "./service_type.ts";

export const servicesType = new MapType(nameType, serviceType, "service");
